package settings

import (
	"bufio"
	"bytes"
	"strings"

	"gopkg.in/ini.v1"
)

// position names a section or, with a key, an entry of a file.
type position struct {
	section, key string
}

// lineIndex maps sections and keys to their lines, which the INI library does
// not report.
type lineIndex struct {
	line   map[position]int
	order  []position // keys in file order
	last   int
	faults Faults // lines that are not valid INI, and duplicates
}

// indexLines scans b line by line.
func indexLines(b []byte) *lineIndex {
	x := &lineIndex{line: make(map[position]int)}
	sc := bufio.NewScanner(bytes.NewReader(b))
	sc.Buffer(nil, len(b)+1)
	section := ""
	for sc.Scan() {
		x.last++
		text := strings.TrimSpace(strings.TrimPrefix(sc.Text(), "\ufeff"))
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = x.addSection(text)
		default:
			x.addKey(section, text)
		}
	}
	return x
}

func (x *lineIndex) addSection(text string) string {
	end := strings.IndexByte(text, ']')
	if end < 0 {
		x.fault("", "", "section without a closing bracket")
		return ""
	}
	name := strings.TrimSpace(text[1:end])
	if first, ok := x.line[position{section: name}]; ok {
		x.faults = append(x.faults, Fault{x.last, name, "", "section repeated; first at line " + itoa(first)})
		return name
	}
	x.line[position{section: name}] = x.last
	return name
}

func (x *lineIndex) addKey(section, text string) {
	name, _, ok := strings.Cut(text, "=")
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
	if first, ok := x.line[p]; ok {
		x.fault(section, name, "key repeated; first at line "+itoa(first))
		return
	}
	x.line[p] = x.last
	x.order = append(x.order, p)
}

func (x *lineIndex) fault(section, key, detail string) {
	x.faults = append(x.faults, Fault{x.last, section, key, detail})
}

// at returns the line of a key, else of its section, else the last line.
func (x *lineIndex) at(section, key string) int {
	if l, ok := x.line[position{section, key}]; ok {
		return l
	}
	if l, ok := x.line[position{section: section}]; ok {
		return l
	}
	return x.last
}

// loadINI parses b without continuation lines, escapes or interpolation.
func loadINI(b []byte) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SkipUnrecognizableLines:  true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, b)
}
