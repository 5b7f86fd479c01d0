package settings

import (
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Value is one effective setting and the place that it came from.
type Value struct {
	Key   string
	Value string
	// File is empty when the value is the default.
	File string
	Line int
}

// reader takes typed values out of one table and reports what doesn't fit.
type reader struct {
	rp   *report
	tb   *table
	path string
	// singleFile is true while one file is checked by itself: keys that another file may state can be missing.
	singleFile  bool
	used   map[string]bool
	values *[]Value
}

func newReader(rp *report, tb *table, alone bool) *reader {
	return &reader{rp: rp, tb: tb, singleFile: alone, used: map[string]bool{}, values: &[]Value{}}
}

func (rd *reader) fullKey(key string) string {
	if strings.ContainsAny(key, ". ") || key == "" {
		key = strconv.Quote(key)
	}
	if rd.path == "" {
		return key
	}
	return rd.path + "." + key
}

func (rd *reader) lookup(key string) *entry {
	rd.used[key] = true
	return rd.tb.entries[key]
}

func (rd *reader) errorf(key string, en *entry, format string, arguments ...any) {
	rd.rp.addf(en.file, en.line, rd.fullKey(key), format, arguments...)
}

// reportMissing reports a key that no file states.
func (rd *reader) reportMissing(key string) {
	if !rd.singleFile {
		rd.rp.addf(rd.tb.file, rd.tb.line, rd.fullKey(key), "missing; this key has no default")
	}
}

func (rd *reader) addValue(key, text string, en *entry) {
	value := Value{Key: rd.fullKey(key), Value: text}
	if en != nil {
		value.File, value.Line = en.file, en.line
	}
	*rd.values = append(*rd.values, value)
}

// reportUnknownKeys reports the keys that nothing has read.
func (rd *reader) reportUnknownKeys() {
	for _, key := range slices.Sorted(maps.Keys(rd.tb.entries)) {
		if !rd.used[key] {
			rd.errorf(key, rd.tb.entries[key], "unknown key%s", rd.suggestion(key))
		}
	}
}

func (rd *reader) suggestion(key string) string {
	for _, known := range slices.Sorted(maps.Keys(rd.used)) {
		if strings.EqualFold(known, key) {
			return "; did you mean " + known + "?"
		}
	}
	return ""
}

func typeName(value any) string {
	switch typed := value.(type) {
	case string:
		return "a text"
	case int64:
		return "an integer"
	case float64:
		return "a number with a fraction"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	case *table:
		return "a table"
	case unsupported:
		return "a TOML " + string(typed)
	default:
		return "of an unknown type"
	}
}

func (rd *reader) reportType(key string, en *entry, want string) {
	rd.errorf(key, en, "must be %s, but is %s", want, typeName(en.value))
}

// text returns the string of the key, and whether a good one is there.
func (rd *reader) text(key, want string) (string, *entry) {
	en := rd.lookup(key)
	if en == nil {
		return "", nil
	}
	text, isText := en.value.(string)
	if !isText {
		rd.reportType(key, en, want)
		return "", nil
	}
	if strings.TrimSpace(text) == "" {
		rd.errorf(key, en, "must not be empty")
		return "", nil
	}
	return text, en
}

func (rd *reader) requiredText(key string) string {
	text, en := rd.text(key, "a text")
	if en != nil {
		rd.addValue(key, text, en)
	}
	if rd.tb.entries[key] == nil {
		rd.reportMissing(key)
	}
	return text
}

func (rd *reader) optionalText(key string) string {
	text, en := rd.text(key, "a text")
	if en != nil {
		rd.addValue(key, text, en)
	}
	return text
}

func (rd *reader) choice(key, fallback string, choices ...string) string {
	want := "one of " + strings.Join(choices, ", ")
	text, en := rd.text(key, want)
	if en == nil {
		rd.addDefault(key, fallback)
		return fallback
	}
	if !slices.Contains(choices, text) {
		rd.errorf(key, en, "%q is not %s", text, want)
		return fallback
	}
	rd.addValue(key, text, en)
	return text
}

// addDefault records a default; a key without one, or with a faulty value, has nothing to record.
func (rd *reader) addDefault(key, text string) {
	if rd.tb.entries[key] == nil && text != "" {
		rd.addValue(key, text, nil)
	}
}

func (rd *reader) flag(key string, fallback bool) bool {
	en := rd.lookup(key)
	if en == nil {
		rd.addValue(key, strconv.FormatBool(fallback), nil)
		return fallback
	}
	set, isBool := en.value.(bool)
	if !isBool {
		rd.reportType(key, en, "true or false")
		return fallback
	}
	rd.addValue(key, strconv.FormatBool(set), en)
	return set
}

func (rd *reader) duration(key string, fallback, low, high time.Duration) time.Duration {
	text, en := rd.unitText(key, `a duration with a unit, such as "1.5s"`)
	if en == nil {
		rd.addDefault(key, formatDuration(fallback))
		return fallback
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		rd.errorf(key, en, `%q is not a duration; write it with a unit, such as "250ms", "1.5s" or "10m"`, text)
		return fallback
	}
	if span < low || span > high {
		rd.errorf(key, en, "%s is out of range; it must be from %s to %s", text, formatDuration(low), formatDuration(high))
		return fallback
	}
	rd.addValue(key, formatDuration(span), en)
	return span
}

// unitText returns a value that is written with its unit, and reports a bare number as lacking one.
func (rd *reader) unitText(key, want string) (string, *entry) {
	if en := rd.tb.entries[key]; en != nil {
		switch en.value.(type) {
		case int64, float64:
			rd.used[key] = true
			rd.errorf(key, en, "has no unit; it must be %s", want)
			return "", nil
		}
	}
	return rd.text(key, want)
}

func (rd *reader) size(key string, fallback, low, high chestnutroad.Bytes) chestnutroad.Bytes {
	return rd.sizeWithSuffix(key, "", fallback, low, high)
}

// rate reads bytes a second, such as "5KB/s".
func (rd *reader) rate(key string, fallback, low, high chestnutroad.Bytes) chestnutroad.Bytes {
	return rd.sizeWithSuffix(key, "/s", fallback, low, high)
}

func (rd *reader) sizeWithSuffix(key, suffix string, fallback, low, high chestnutroad.Bytes) chestnutroad.Bytes {
	example := `"5KB` + suffix + `"`
	text, en := rd.unitText(key, "a size with a unit, such as "+example)
	if en == nil {
		rd.addDefault(key, formatSize(fallback)+suffix)
		return fallback
	}
	digits, hasSuffix := strings.CutSuffix(text, suffix)
	size, good := parseSize(digits)
	if !good || !hasSuffix {
		rd.errorf(key, en, "%q is not a size; write it with a unit, such as %s", text, example)
		return fallback
	}
	if size < low || size > high {
		rd.errorf(key, en, "%s is out of range; it must be from %s to %s", text, formatSize(low)+suffix, formatSize(high)+suffix)
		return fallback
	}
	rd.addValue(key, formatSize(size)+suffix, en)
	return size
}

func (rd *reader) percent(key string, fallback, low, high float64) float64 {
	text, en := rd.unitText(key, `a percentage, such as "20%"`)
	if en == nil {
		rd.addDefault(key, formatPercent(fallback))
		return fallback
	}
	fraction, good := parsePercent(text)
	if !good {
		rd.errorf(key, en, `%q is not a percentage; write it as in "20%%"`, text)
		return fallback
	}
	if fraction < low || fraction > high {
		rd.errorf(key, en, "%s is out of range; it must be from %s to %s", text, formatPercent(low), formatPercent(high))
		return fallback
	}
	rd.addValue(key, formatPercent(fraction), en)
	return fraction
}

func (rd *reader) count(key string, fallback, low, high int64) int64 {
	en := rd.lookup(key)
	if en == nil {
		rd.addValue(key, strconv.FormatInt(fallback, 10), nil)
		return fallback
	}
	number, isInteger := en.value.(int64)
	if !isInteger {
		rd.reportType(key, en, "an integer")
		return fallback
	}
	if number < low || number > high {
		rd.errorf(key, en, "%d is out of range; it must be from %d to %d", number, low, high)
		return fallback
	}
	rd.addValue(key, strconv.FormatInt(number, 10), en)
	return number
}

func (rd *reader) ratio(key string, fallback, low, high float64) float64 {
	en := rd.lookup(key)
	if en == nil {
		rd.addValue(key, formatRatio(fallback), nil)
		return fallback
	}
	number, isNumber := asFloat(en.value)
	if !isNumber {
		rd.reportType(key, en, "a number")
		return fallback
	}
	if math.IsNaN(number) || number < low || number > high {
		rd.errorf(key, en, "%s is out of range; it must be from %s to %s",
			formatRatio(number), formatRatio(low), formatRatio(high))
		return fallback
	}
	rd.addValue(key, formatRatio(number), en)
	return number
}

func formatRatio(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

func asFloat(value any) (float64, bool) {
	switch number := value.(type) {
	case int64:
		return float64(number), true
	case float64:
		return number, true
	default:
		return 0, false
	}
}

// texts returns a list of different strings; item reports the fault of one of them, or an empty text.
func (rd *reader) texts(key string, item func(text string) string) []string {
	en := rd.lookup(key)
	if en == nil {
		return nil
	}
	items, isList := en.value.([]any)
	if !isList {
		rd.reportType(key, en, "a list of texts")
		return nil
	}
	texts := make([]string, 0, len(items))
	for _, value := range items {
		text, isText := value.(string)
		switch {
		case !isText:
			rd.errorf(key, en, "must be a list of texts, but one item is %s", typeName(value))
		case slices.Contains(texts, text):
			rd.errorf(key, en, "lists %q twice", text)
		case item(text) != "":
			rd.errorf(key, en, "%s", item(text))
		default:
			texts = append(texts, text)
		}
	}
	rd.addValue(key, strings.Join(texts, ", "), en)
	return texts
}

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// checkID says what is wrong with an id, or nothing.
func checkID(text string) string {
	if text == "" {
		return "an id must not be empty"
	}
	if !idPattern.MatchString(text) {
		return strconv.Quote(text) + " is not an id; it has 1 to 63 lower-case letters, digits, dots, hyphens or underscores"
	}
	return ""
}

// tables returns a reader for each table under the key, by name.
func (rd *reader) tables(key string, nameFault func(name string) string) []*reader {
	inner := rd.table(key)
	if inner == nil {
		return nil
	}
	readers := make([]*reader, 0, len(inner.tb.entries))
	for _, name := range slices.Sorted(maps.Keys(inner.tb.entries)) {
		en := inner.lookup(name)
		if fault := nameFault(name); fault != "" {
			inner.errorf(name, en, "%s", fault)
		}
		tb, isTable := en.value.(*table)
		if !isTable {
			inner.reportType(name, en, "a table")
			continue
		}
		readers = append(readers, inner.child(name, tb))
	}
	return readers
}

func (rd *reader) table(key string) *reader {
	en := rd.lookup(key)
	if en == nil {
		return nil
	}
	tb, isTable := en.value.(*table)
	if !isTable {
		rd.reportType(key, en, "a table")
		return nil
	}
	return rd.child(key, tb)
}

func (rd *reader) child(key string, tb *table) *reader {
	return &reader{rp: rd.rp, tb: tb, path: rd.fullKey(key), singleFile: rd.singleFile, used: map[string]bool{}, values: rd.values}
}

// id returns the last part of the reader's path without quotes.
func (rd *reader) id(parent string) string {
	name := strings.TrimPrefix(rd.path, parent+".")
	if plain, err := strconv.Unquote(name); err == nil {
		return plain
	}
	return name
}

// address reads an IP number and port; remote is true for the address of another machine, which needs a real one.
func (rd *reader) address(key string, remote bool) netip.AddrPort {
	text, en := rd.text(key, `an IP number and port, such as "10.0.0.1:8080"`)
	if en == nil {
		return netip.AddrPort{}
	}
	address, fault := parseAddress(text, remote)
	if fault != "" {
		rd.errorf(key, en, "%s", fault)
		return netip.AddrPort{}
	}
	rd.addValue(key, address.String(), en)
	return address
}

func parseAddress(text string, remote bool) (netip.AddrPort, string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, strconv.Quote(text) + ` is not an IP number and port, such as "10.0.0.1:8080"`
	}
	if remote && (address.Port() == 0 || address.Addr().IsUnspecified()) {
		return address, strconv.Quote(text) + " does not name one machine and port"
	}
	return address, ""
}
