package platform

import (
	"context"
	"strings"
)

// EvacuationTable holds one row for each evacuated availability zone of the project's
// own platform. The key names the zone and the value means nothing.
const EvacuationTable = "evacuation"

const evacuationPrefix = EvacuationTable + "/"

// EvacuatedZone returns the zone that the row with a key evacuates, and false for the
// key of any other row.
func EvacuatedZone(key string) (zone string, ok bool) {
	return strings.CutPrefix(key, evacuationPrefix)
}

// SetEvacuated writes the row that evacuates a zone, or deletes it. It may be repeated
// if its outcome is not known.
func SetEvacuated(ctx context.Context, store Store, zone string, evacuated bool) error {
	_, err := store.Commit(ctx, Txn{Writes: []Write{{Key: evacuationPrefix + zone, Delete: !evacuated}}})
	return err
}
