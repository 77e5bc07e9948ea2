package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Source is the name of a configuration file, used in messages, and its text.
type Source struct {
	Name string
	Text []byte
}

// keyValue is the value of a key in the merged files and the location that set
// it.
type keyValue struct {
	value string
	file  string
	line  int
}

// section is a section of the merged files; file and line are those of its
// first header.
type section struct {
	name string
	file string
	line int
	keys map[string]keyValue
}

// mergedFiles holds a base file merged with overlays.
type mergedFiles struct {
	sections map[string]*section
	order    []string // section names in order of first appearance
	faults   []Fault
}

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	UnparseableSections:      nil,
}

func merge(sources []Source) *mergedFiles {
	m := &mergedFiles{sections: make(map[string]*section)}
	for _, src := range sources {
		m.addFile(src)
	}
	return m
}

func (m *mergedFiles) addFault(file string, line int, key, format string, args ...any) {
	m.faults = append(m.faults, Fault{File: file, Line: line, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// addFile merges a file over the files read before.
func (m *mergedFiles) addFile(src Source) {
	f, err := ini.LoadSources(loadOptions, src.Text)
	if err != nil {
		m.addFault(src.Name, 1, "file", "%v", err)
		return
	}
	lines := m.indexLines(src)
	for _, s := range f.Sections() {
		for _, k := range s.Keys() {
			line := lines[s.Name()+"\x00"+k.Name()]
			if s.Name() == ini.DefaultSection {
				m.addFault(src.Name, line, k.Name(), "key outside a section")
				continue
			}
			sec := m.ensureSection(s.Name(), src.Name, lines[s.Name()])
			sec.keys[k.Name()] = keyValue{value: k.Value(), file: src.Name, line: line}
		}
		if s.Name() != ini.DefaultSection {
			m.ensureSection(s.Name(), src.Name, lines[s.Name()])
		}
	}
}

func (m *mergedFiles) ensureSection(name, file string, line int) *section {
	if s, ok := m.sections[name]; ok {
		return s
	}
	s := &section{name: name, file: file, line: line, keys: make(map[string]keyValue)}
	m.sections[name] = s
	m.order = append(m.order, name)
	return s
}

// indexLines maps the sections and keys of a file to their lines. A key is listed
// under the name of its section, a zero byte and its own name. Duplicate sections
// and keys are reported, because the INI library keeps only the last.
func (m *mergedFiles) indexLines(src Source) map[string]int {
	lines := make(map[string]int)
	current := ini.DefaultSection
	for i, text := range strings.Split(string(src.Text), "\n") {
		text = strings.TrimSpace(text)
		switch {
		case text == "" || text[0] == ';' || text[0] == '#':
		case text[0] == '[':
			current = sectionName(text)
			m.recordLine(lines, src.Name, current, current, i+1)
		default:
			key, _, _ := strings.Cut(text, "=")
			key = strings.TrimSpace(key)
			m.recordLine(lines, src.Name, current+"\x00"+key, current+"."+key, i+1)
		}
	}
	return lines
}

func (m *mergedFiles) recordLine(lines map[string]int, file, id, key string, line int) {
	if first, ok := lines[id]; ok {
		m.addFault(file, line, key, "duplicate of line %d", first)
		return
	}
	lines[id] = line
}

func sectionName(line string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(line, "["), "]")
	return strings.TrimSpace(name)
}
