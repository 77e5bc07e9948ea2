package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Source is a configuration file: its name, for messages, and its text.
type Source struct {
	Name string
	Text []byte
}

// entry is one key of the merged files, with the place that set it.
type entry struct {
	value string
	file  string
	line  int
}

// section is one section of the merged files.
type section struct {
	name string
	file string
	line int
	keys map[string]entry
}

// merged is a base file with overlays laid over it, in order.
type merged struct {
	sections map[string]*section
	order    []string
	faults   []Fault
}

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	UnparseableSections:      nil,
}

func merge(sources []Source) *merged {
	m := &merged{sections: make(map[string]*section)}
	for _, src := range sources {
		m.add(src)
	}
	return m
}

func (m *merged) fault(file string, line int, key, format string, args ...any) {
	m.faults = append(m.faults, Fault{File: file, Line: line, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// add lays one file over what was read before.
func (m *merged) add(src Source) {
	f, err := ini.LoadSources(loadOptions, src.Text)
	if err != nil {
		m.fault(src.Name, 1, "file", "%v", err)
		return
	}
	lines := m.index(src)
	for _, s := range f.Sections() {
		for _, k := range s.Keys() {
			place := lines[s.Name()+"\x00"+k.Name()]
			if s.Name() == ini.DefaultSection {
				m.fault(src.Name, place, k.Name(), "key outside a section")
				continue
			}
			sec := m.section(s.Name(), src.Name, lines[s.Name()])
			sec.keys[k.Name()] = entry{value: k.Value(), file: src.Name, line: place}
		}
		if s.Name() != ini.DefaultSection {
			m.section(s.Name(), src.Name, lines[s.Name()])
		}
	}
}

func (m *merged) section(name, file string, line int) *section {
	if s, ok := m.sections[name]; ok {
		return s
	}
	s := &section{name: name, file: file, line: line, keys: make(map[string]entry)}
	m.sections[name] = s
	m.order = append(m.order, name)
	return s
}

// index maps sections and keys of one file to their lines. It records the
// sections and keys that the file holds twice, of which the INI library keeps
// only the last.
func (m *merged) index(src Source) map[string]int {
	lines := make(map[string]int)
	current := ini.DefaultSection
	for i, text := range strings.Split(string(src.Text), "\n") {
		text = strings.TrimSpace(text)
		switch {
		case text == "" || text[0] == ';' || text[0] == '#':
		case text[0] == '[':
			current = sectionName(text)
			m.note(lines, src.Name, current, current, i+1)
		default:
			key, _, _ := strings.Cut(text, "=")
			key = strings.TrimSpace(key)
			m.note(lines, src.Name, current+"\x00"+key, current+"."+key, i+1)
		}
	}
	return lines
}

func (m *merged) note(lines map[string]int, file, id, key string, line int) {
	if first, ok := lines[id]; ok {
		m.fault(file, line, key, "duplicate of line %d", first)
		return
	}
	lines[id] = line
}

func sectionName(line string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(line, "["), "]")
	return strings.TrimSpace(name)
}
