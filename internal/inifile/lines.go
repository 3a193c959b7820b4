package inifile

import (
	"bufio"
	"bytes"
	"strings"

	"gopkg.in/ini.v1"
)

// position identifies a section or, with a key, an entry of a file.
type position struct {
	section, key string
}

// lineIndex maps sections and keys to their lines, which the INI library does
// not report.
type lineIndex struct {
	byPosition map[position]int
	keyOrder   []position // keys in file order
	lastLine   int
	faults     Faults // invalid and repeated lines, sections and keys
}

// indexLines records the lines of the sections and keys in b.
func indexLines(b []byte) *lineIndex {
	x := &lineIndex{byPosition: make(map[position]int)}
	sc := bufio.NewScanner(bytes.NewReader(b))
	sc.Buffer(nil, len(b)+1)
	section := ""
	for sc.Scan() {
		x.lastLine++
		line := strings.TrimSpace(strings.TrimPrefix(sc.Text(), "\ufeff"))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = x.addSection(line)
		default:
			x.addKey(section, line)
		}
	}
	return x
}

func (x *lineIndex) addSection(line string) string {
	end := strings.IndexByte(line, ']')
	if end < 0 {
		x.fault("", "", "section without a closing bracket")
		return ""
	}
	name := strings.TrimSpace(line[1:end])
	if first, ok := x.byPosition[position{section: name}]; ok {
		x.faults = append(x.faults, Fault{x.lastLine, name, "", "section repeated; first at line " + itoa(first)})
		return name
	}
	x.byPosition[position{section: name}] = x.lastLine
	return name
}

func (x *lineIndex) addKey(section, line string) {
	name, _, ok := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	if !ok || name == "" {
		x.fault(section, "", "neither a section nor key = value")
		return
	}
	if section == "" {
		x.fault("", name, "key before the first section")
		return
	}
	p := position{section, name}
	if first, ok := x.byPosition[p]; ok {
		x.fault(section, name, "key repeated; first at line "+itoa(first))
		return
	}
	x.byPosition[p] = x.lastLine
	x.keyOrder = append(x.keyOrder, p)
}

func (x *lineIndex) fault(section, key, detail string) {
	x.faults = append(x.faults, Fault{x.lastLine, section, key, detail})
}

// lineOf returns the line of a key, or of its section if the key is missing, or
// the last line if the section is missing too.
func (x *lineIndex) lineOf(section, key string) int {
	if l, ok := x.byPosition[position{section, key}]; ok {
		return l
	}
	if l, ok := x.byPosition[position{section: section}]; ok {
		return l
	}
	return x.lastLine
}

// loadINI parses b without support for continuation lines, escapes or
// interpolation.
func loadINI(b []byte) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SkipUnrecognizableLines:  true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, b)
}
