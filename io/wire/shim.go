package wire

import "net/netip"

// formatAddr encodes an address; the zero address becomes the empty string.
func formatAddr(a netip.AddrPort) (string, error) {
	text, err := a.MarshalText()
	return string(text), err
}

// parseAddr decodes the output of formatAddr.
func parseAddr(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(s)
}
