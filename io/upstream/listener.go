package upstream

import (
	"encoding/json"
	"net/http"
	"unsafe"

	"bramleythread/io/limits"
)

const maxAnnouncement = 64 << 10 // bytes

// Listener receives an upstream's announcements on the agent's side.
type Listener struct {
	OnAnnounce func(a Announcement)
	OnLeave    func(incarnation uint64)
}

// Register adds the listener's handlers to mux.
func (l *Listener) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+announcePath, func(w http.ResponseWriter, r *http.Request) {
		if a, ok := readAnnouncement(w, r); ok {
			l.OnAnnounce(a)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST "+leavePath, func(w http.ResponseWriter, r *http.Request) {
		if a, ok := readAnnouncement(w, r); ok {
			l.OnLeave(a.Incarnation)
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (Announcement, bool) {
	var a Announcement
	body, err := limits.ReadDocument(w, r, limits.Document{MaxSize: maxAnnouncement, ItemSize: int(unsafe.Sizeof(""))})
	if err != nil {
		http.Error(w, err.Error(), limits.Status(w, err))
		return a, false
	}
	if err := json.Unmarshal(body, &a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return a, false
	}
	if !a.Address.IsValid() || a.Slots <= 0 || a.Accelerators < 0 || a.Connections <= 0 {
		http.Error(w, "announcement lacks an address, slots or connections", http.StatusBadRequest)
		return a, false
	}
	return a, true
}
