package settings

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a settings file that has been read but not parsed.
type File struct {
	Name string
	Text string
}

// entry is the value of a key, which is a scalar, a list or a table, and its position in a file.
type entry struct {
	file  string
	line  int
	value any
}

// table is a TOML table with the position of its header.
type table struct {
	file string
	line int
	// path holds the parts of the table's dotted key; it is empty for the root and for merged tables.
	path    []string
	entries map[string]*entry
	// hasHeader is true for an inline table and once the table's own [header] has been read; a second header is an error.
	hasHeader bool
}

func newTable(file string, line int, path ...string) *table {
	return &table{file: file, line: line, path: path, entries: map[string]*entry{}}
}

// key returns the full dotted key of an entry of the table.
func (tb *table) key(name string) string {
	return strings.Join(append(slices.Clone(tb.path), name), ".")
}

// nonEmptyText returns the string value of a key, and false if there is none or it is empty. It reports no errors.
func (tb *table) nonEmptyText(key string) (string, bool) {
	en := tb.entries[key]
	if en == nil {
		return "", false
	}
	text, isText := en.value.(string)
	return text, isText && text != ""
}

// parser builds tables with line numbers from the syntax tree of go-toml.
//
// The library's decoder can't be used for that: it stops at the first error and gives positions only with errors, and all
// errors are to be reported at once.
type parser struct {
	file       File
	root       *table
	rp         *report
	errorCount int
	tomlParser unstable.Parser
	// lineEnds holds the offsets of the line feeds. The library's Shape counts lines from the start of the file for each key,
	// which takes quadratic time: 635 ms for 1,800 teams.
	lineEnds []uint32
}

// parseFile returns the tables of a file, and false if a syntax error kept it from reading the whole file.
func parseFile(fl File, rp *report) (*table, bool) {
	pr := &parser{file: fl, rp: rp, root: newTable(fl.Name, 1), lineEnds: newlineOffsets(fl.Text)}
	pr.tomlParser.Reset([]byte(fl.Text))
	pr.read()
	if pr.tomlParser.Error() != nil || pr.errorCount == 0 {
		pr.checkSyntax()
	}
	return pr.root, pr.tomlParser.Error() == nil
}

// checkSyntax reports the first error that the library's decoder finds. Apart from syntax errors, the decoder finds errors that
// read does not, such as an impossible date. It also finds errors that read has reported, so that parseFile checks a file without
// syntax errors only if read has reported none.
func (pr *parser) checkSyntax() {
	var values map[string]any
	err := toml.Unmarshal([]byte(pr.file.Text), &values)
	if err == nil {
		return
	}
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		pr.errorf(1, "", "%s", err.Error())
		return
	}
	line, _ := decodeErr.Position()
	pr.errorf(line, strings.Join(decodeErr.Key(), "."), "not valid TOML: %s", strings.TrimPrefix(decodeErr.Error(), "toml: "))
}

func (pr *parser) errorf(line int, key, format string, arguments ...any) {
	pr.errorCount++
	pr.rp.addf(pr.file.Name, line, key, format, arguments...)
}

// read builds the tables of all expressions up to a syntax error.
func (pr *parser) read() {
	current := pr.root
	for pr.tomlParser.NextExpression() {
		node := pr.tomlParser.Expression()
		switch node.Kind {
		case unstable.Table:
			current = pr.openTable(node)
		case unstable.ArrayTable:
			path, line := pr.path(node.Key())
			pr.errorf(line, strings.Join(path, "."), "[[...]] is not used; name each entry as in [Teams.sales]")
			current = newTable(pr.file.Name, line)
		case unstable.KeyValue:
			pr.set(current, node)
		default:
		}
	}
}

// newlineOffsets returns the offsets of the line feeds in the text.
func newlineOffsets(text string) []uint32 {
	var offsets []uint32
	for offset := range len(text) {
		if text[offset] == '\n' {
			offsets = append(offsets, uint32(offset))
		}
	}
	return offsets
}

// line returns the number of the line on which the range starts, counted from 1.
func (pr *parser) line(raw unstable.Range) int {
	before, _ := slices.BinarySearch(pr.lineEnds, raw.Offset)
	return before + 1
}

// path returns the parts of a dotted key and the line on which it starts.
func (pr *parser) path(keys unstable.Iterator) ([]string, int) {
	var path []string
	line := 0
	for keys.Next() {
		node := keys.Node()
		if line == 0 {
			line = pr.line(node.Raw)
		}
		path = append(path, string(node.Data))
	}
	return path, line
}

// openTable returns the table of a [header] and reports a header that occurs twice.
func (pr *parser) openTable(node *unstable.Node) *table {
	path, line := pr.path(node.Key())
	tb := pr.descend(pr.root, path, line)
	if tb.hasHeader {
		pr.errorf(line, strings.Join(path, "."), "declared twice, first on line %d", tb.line)
	}
	tb.hasHeader = true
	tb.line = line
	return tb
}

// descend returns the table at the path below tb. It creates missing tables; if a part of the path is not a table, it reports
// that and returns an empty table outside the tree.
func (pr *parser) descend(tb *table, path []string, line int) *table {
	for _, part := range path {
		en, found := tb.entries[part]
		if !found {
			path := append(slices.Clone(tb.path), part)
			en = &entry{file: pr.file.Name, line: line, value: newTable(pr.file.Name, line, path...)}
			tb.entries[part] = en
		}
		inner, isTable := en.value.(*table)
		if !isTable {
			pr.errorf(line, tb.key(part), "is a value on line %d, not a table", en.line)
			return newTable(pr.file.Name, line)
		}
		tb = inner
	}
	return tb
}

// set stores the value of a key-value expression and reports a key that occurs twice.
func (pr *parser) set(tb *table, node *unstable.Node) {
	path, line := pr.path(node.Key())
	last := len(path) - 1
	tb = pr.descend(tb, path[:last], line)
	key := tb.key(path[last])
	if earlier, found := tb.entries[path[last]]; found {
		pr.errorf(line, key, "declared twice, first on line %d", earlier.line)
		return
	}
	value := pr.value(node.Value(), line, append(slices.Clone(tb.path), path[last]))
	tb.entries[path[last]] = &entry{file: pr.file.Name, line: line, value: value}
}

// value returns the value as a string, bool, int64, float64, []any, *table or unsupported.
func (pr *parser) value(node *unstable.Node, line int, path []string) any {
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
		return pr.list(node, line, path)
	case unstable.InlineTable:
		return pr.inlineTable(node, line, path)
	default:
		return unsupported(node.Kind.String())
	}
}

// unsupported names the TOML type of a value that no key can have, such as a date or an integer out of range.
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

func (pr *parser) list(node *unstable.Node, line int, path []string) any {
	items := []any{}
	children := node.Children()
	for children.Next() {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		items = append(items, pr.value(child, line, path))
	}
	return items
}

func (pr *parser) inlineTable(node *unstable.Node, line int, path []string) any {
	tb := newTable(pr.file.Name, line, path...)
	tb.hasHeader = true
	children := node.Children()
	for children.Next() {
		if child := children.Node(); child.Kind == unstable.KeyValue {
			pr.set(tb, child)
		}
	}
	return tb
}

// merge returns a table of the keys of both tables. The overlay's value takes precedence, except that tables are merged.
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

func mergeEntry(base, overlay *entry) *entry {
	if base == nil {
		return overlay
	}
	baseTable, isBaseTable := base.value.(*table)
	overlayTable, isOverlayTable := overlay.value.(*table)
	if !isBaseTable || !isOverlayTable {
		return overlay
	}
	return &entry{file: overlay.file, line: overlay.line, value: merge(baseTable, overlayTable)}
}
