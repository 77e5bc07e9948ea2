package wire

import "net/netip"

// formatAddr writes an address for the wire; the zero address is empty.
func formatAddr(a netip.AddrPort) (string, error) {
	text, err := a.MarshalText()
	return string(text), err
}

// parseAddr reads what formatAddr wrote.
func parseAddr(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(s)
}
