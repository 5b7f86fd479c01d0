package settings

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is the name and the text of one settings file.
type File struct {
	Name string
	Text string
}

// entry is one key of a file: a scalar, a list or a table, with the place where it stands.
type entry struct {
	file  string
	line  int
	value any
}

// table holds the keys of one TOML table.
type table struct {
	file string
	line int
	// path is the dotted key of the table in its file; a merged table has none.
	path    []string
	entries map[string]*entry
	// hasHeader is true once the table's own [hasHeader] has been read.
	hasHeader bool
}

func newTable(file string, line int, path ...string) *table {
	return &table{file: file, line: line, path: path, entries: map[string]*entry{}}
}

// key returns the dotted key of an entry of the table.
func (tb *table) key(name string) string {
	return strings.Join(append(slices.Clone(tb.path), name), ".")
}

// nonEmptyText returns the text of a key without a report, and whether one is there that isn't empty.
func (tb *table) nonEmptyText(key string) (string, bool) {
	en := tb.entries[key]
	if en == nil {
		return "", false
	}
	text, isText := en.value.(string)
	return text, isText && text != ""
}

// parser turns the library's syntax tree into tables that know their lines.
//
// The library's decoder stops at the first fault and gives positions only with faults, so that it can't serve to
// report all of them at once.
type parser struct {
	file  File
	root  *table
	rp    *report
	errorCount int
	ast    unstable.Parser
	// lineEnds holds the offset of each line's end; the parser's own Shape counts lines from the start for each key, which
	// made the time quadratic: 635 ms for 1,800 teams.
	lineEnds []uint32
}

// parseFile returns the tables of the file, and whether all of it could be read.
func parseFile(fl File, rp *report) (*table, bool) {
	dc := &parser{file: fl, rp: rp, root: newTable(fl.Name, 1), lineEnds: newlineOffsets(fl.Text)}
	dc.ast.Reset([]byte(fl.Text))
	dc.read()
	if dc.ast.Error() != nil || dc.errorCount == 0 {
		dc.checkSyntax()
	}
	return dc.root, dc.ast.Error() == nil
}

// checkSyntax reports what the library's own decoder finds wrong.
func (dc *parser) checkSyntax() {
	var values map[string]any
	err := toml.Unmarshal([]byte(dc.file.Text), &values)
	if err == nil {
		return
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		dc.errorf(1, "", "%s", err.Error())
		return
	}
	line, _ := decode.Position()
	dc.errorf(line, strings.Join(decode.Key(), "."), "not valid TOML: %s", strings.TrimPrefix(decode.Error(), "toml: "))
}

func (dc *parser) errorf(line int, key, format string, arguments ...any) {
	dc.errorCount++
	dc.rp.addf(dc.file.Name, line, key, format, arguments...)
}

func (dc *parser) read() {
	current := dc.root
	for dc.ast.NextExpression() {
		node := dc.ast.Expression()
		switch node.Kind {
		case unstable.Table:
			current = dc.openTable(node)
		case unstable.ArrayTable:
			path, line := dc.path(node.Key())
			dc.errorf(line, strings.Join(path, "."), "[[...]] is not used; name each entry as in [Teams.sales]")
			current = newTable(dc.file.Name, line)
		case unstable.KeyValue:
			dc.set(current, node)
		default:
		}
	}
}

func newlineOffsets(text string) []uint32 {
	var offsets []uint32
	for offset := range len(text) {
		if text[offset] == '\n' {
			offsets = append(offsets, uint32(offset))
		}
	}
	return offsets
}

// line returns the number of the line on which the range starts.
func (dc *parser) line(raw unstable.Range) int {
	before, _ := slices.BinarySearch(dc.lineEnds, raw.Offset)
	return before + 1
}

// path returns the parts of a dotted key and the line on which it starts.
func (dc *parser) path(keys unstable.Iterator) ([]string, int) {
	var path []string
	line := 0
	for keys.Next() {
		node := keys.Node()
		if line == 0 {
			line = dc.line(node.Raw)
		}
		path = append(path, string(node.Data))
	}
	return path, line
}

func (dc *parser) openTable(node *unstable.Node) *table {
	path, line := dc.path(node.Key())
	tb := dc.descend(dc.root, path, line)
	if tb.hasHeader {
		dc.errorf(line, strings.Join(path, "."), "declared twice, first on line %d", tb.line)
	}
	tb.hasHeader = true
	tb.line = line
	return tb
}

// descend returns the table at the path and creates the missing ones.
func (dc *parser) descend(tb *table, path []string, line int) *table {
	for _, part := range path {
		en, known := tb.entries[part]
		if !known {
			path := append(slices.Clone(tb.path), part)
			en = &entry{file: dc.file.Name, line: line, value: newTable(dc.file.Name, line, path...)}
			tb.entries[part] = en
		}
		inner, isTable := en.value.(*table)
		if !isTable {
			dc.errorf(line, tb.key(part), "is a value on line %d, not a table", en.line)
			return newTable(dc.file.Name, line)
		}
		tb = inner
	}
	return tb
}

func (dc *parser) set(tb *table, node *unstable.Node) {
	path, line := dc.path(node.Key())
	last := len(path) - 1
	tb = dc.descend(tb, path[:last], line)
	key := tb.key(path[last])
	if earlier, known := tb.entries[path[last]]; known {
		dc.errorf(line, key, "declared twice, first on line %d", earlier.line)
		return
	}
	value := dc.value(node.Value(), line, append(slices.Clone(tb.path), path[last]))
	tb.entries[path[last]] = &entry{file: dc.file.Name, line: line, value: value}
}

func (dc *parser) value(node *unstable.Node, line int, path []string) any {
	switch node.Kind {
	case unstable.String:
		return string(node.Data)
	case unstable.Bool:
		return string(node.Data) == "true"
	case unstable.Integer:
		return parseInteger(string(node.Data))
	case unstable.Float:
		return parseFloat(string(node.Data))
	case unstable.Array:
		return dc.list(node, line, path)
	case unstable.InlineTable:
		return dc.inlineTable(node, line, path)
	default:
		return unsupported(node.Kind.String())
	}
}

// unsupported is a value of a type that no key has, such as a date.
type unsupported string

func parseInteger(text string) any {
	number, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 0, 64)
	if err != nil {
		return unsupported("Integer")
	}
	return number
}

func parseFloat(text string) any {
	number, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if err != nil {
		return unsupported("Float")
	}
	return number
}

func (dc *parser) list(node *unstable.Node, line int, path []string) any {
	items := []any{}
	children := node.Children()
	for children.Next() {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		items = append(items, dc.value(child, line, path))
	}
	return items
}

func (dc *parser) inlineTable(node *unstable.Node, line int, path []string) any {
	tb := newTable(dc.file.Name, line, path...)
	tb.hasHeader = true
	children := node.Children()
	for children.Next() {
		if child := children.Node(); child.Kind == unstable.KeyValue {
			dc.set(tb, child)
		}
	}
	return tb
}

// merge returns the base with the overlay's keys in place of its own.
func merge(base, overlay *table) *table {
	merged := newTable(overlay.file, overlay.line)
	for key, en := range base.entries {
		merged.entries[key] = en
	}
	for key, en := range overlay.entries {
		merged.entries[key] = mergeEntry(merged.entries[key], en)
	}
	return merged
}

func mergeEntry(below, above *entry) *entry {
	if below == nil {
		return above
	}
	lower, isLower := below.value.(*table)
	upper, isUpper := above.value.(*table)
	if !isLower || !isUpper {
		return above
	}
	return &entry{file: above.file, line: above.line, value: merge(lower, upper)}
}
