package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the way in which a key differs between two configurations.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a key that differs between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Key  string     `json:"key"`           // section and key, as "section.key"
	Old  string     `json:"old,omitempty"` // empty if added
	New  string     `json:"new,omitempty"` // empty if removed
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("added %s = %s", c.Key, c.New)
	case Removed:
		return fmt.Sprintf("removed %s = %s", c.Key, c.Old)
	default:
		return fmt.Sprintf("changed %s = %s, was %s", c.Key, c.New, c.Old)
	}
}

// Differences returns the keys that differ between two configurations, each merged
// from its sources, sorted by key. Values are compared as written, so a default that
// is written out counts as added. If a source cannot be read as INI, the error is a
// *FaultsError.
func Differences(old, next []Source) ([]Change, error) {
	from, to := merge(old), merge(next)
	if faults := slices.Concat(from.faults, to.faults); len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	oldValues, newValues := from.values(), to.values()
	changes := []Change{}
	for key, v := range newValues {
		was, ok := oldValues[key]
		switch {
		case !ok:
			changes = append(changes, Change{Kind: Added, Key: key.String(), New: key.display(v)})
		case was != v:
			changes = append(changes, Change{Kind: Changed, Key: key.String(), Old: key.display(was), New: key.display(v)})
		}
	}
	for key, was := range oldValues {
		if _, ok := newValues[key]; !ok {
			changes = append(changes, Change{Kind: Removed, Key: key.String(), Old: key.display(was)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return changes, nil
}

// keyName identifies a key of the merged files.
type keyName struct {
	section string
	key     string
}

// String returns the name as it is given in messages.
func (k keyName) String() string { return k.section + "." + k.key }

const (
	tokenKey       = "token_sha256"
	digestDigits   = 64
	shownDigits    = 12 // enough to tell the digests of one configuration apart
	unknownDigests = "(not a digest)"
)

// display returns a value as it may be shown. Digests are shortened; what stands in
// the place of a digest is not shown, since it may be the token itself.
func (k keyName) display(value string) string {
	if k.key != tokenKey {
		return value
	}
	digests := strings.Split(value, ",")
	for i, d := range digests {
		d = strings.ToLower(strings.TrimSpace(d))
		if len(d) != digestDigits || strings.Trim(d, "0123456789abcdef") != "" {
			digests[i] = unknownDigests
			continue
		}
		digests[i] = d[:shownDigits] + "..."
	}
	return strings.Join(digests, ", ")
}

func (m *mergedFiles) values() map[keyName]string {
	values := make(map[keyName]string)
	for name, s := range m.sections {
		for key, e := range s.keys {
			values[keyName{section: name, key: key}] = e.value
		}
	}
	return values
}
