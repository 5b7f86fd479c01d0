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

// Value is an effective setting and its origin.
type Value struct {
	Key   string
	Value string
	// File is empty if the value is the default.
	File string
	Line int
}

// reader reads typed values from a table and reports errors in them. A method that reads a value returns the default, or the
// zero value if there is none, for a missing or faulty key.
type reader struct {
	rp   *report
	tb   *table
	path string
	// partial is true if keys may be missing: one file is checked without the others, or a file could not be parsed to its end.
	partial bool
	// used holds the keys that have been looked up.
	used map[string]bool
	// values collects the effective values. It is shared with the readers of inner tables.
	values *[]Value
}

func newReader(rp *report, tb *table, partial bool) *reader {
	return &reader{rp: rp, tb: tb, partial: partial, used: map[string]bool{}, values: &[]Value{}}
}

// fullKey returns the dotted key from the root of the file.
func (rd *reader) fullKey(key string) string {
	if strings.ContainsAny(key, ". ") || key == "" {
		key = strconv.Quote(key)
	}
	if rd.path == "" {
		return key
	}
	return rd.path + "." + key
}

// lookup returns the entry of the key and marks the key as known; the entry is nil if the key is missing.
func (rd *reader) lookup(key string) *entry {
	rd.used[key] = true
	return rd.tb.entries[key]
}

func (rd *reader) errorf(key string, en *entry, format string, arguments ...any) {
	rd.rp.addf(en.file, en.line, rd.fullKey(key), format, arguments...)
}

// reportMissing reports a required key that no file sets.
func (rd *reader) reportMissing(key string) {
	if !rd.partial {
		rd.rp.addf(rd.tb.file, rd.tb.line, rd.fullKey(key), "missing; this key has no default")
	}
}

// addValue records an effective value; a nil entry marks it as the default.
func (rd *reader) addValue(key, text string, en *entry) {
	value := Value{Key: rd.fullKey(key), Value: text}
	if en != nil {
		value.File, value.Line = en.file, en.line
	}
	*rd.values = append(*rd.values, value)
}

// reportUnknownKeys reports the keys of the table that have not been looked up.
func (rd *reader) reportUnknownKeys() {
	for _, key := range slices.Sorted(maps.Keys(rd.tb.entries)) {
		if !rd.used[key] {
			rd.errorf(key, rd.tb.entries[key], "unknown key%s", rd.suggestion(key))
		}
	}
}

// suggestion returns a hint at a known key that differs from the unknown one only in case.
func (rd *reader) suggestion(key string) string {
	for _, known := range slices.Sorted(maps.Keys(rd.used)) {
		if strings.EqualFold(known, key) {
			return "; did you mean " + known + "?"
		}
	}
	return ""
}

// typeName names the type of a value for an error message.
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

// text returns the string value of the key and its entry. The entry is nil if the key is missing or has no valid value.
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

// addDefault records the default unless it is empty or the key has a value, which then is faulty.
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
	duration, err := time.ParseDuration(text)
	if err != nil {
		rd.errorf(key, en, `%q is not a duration; write it with a unit, such as "250ms", "1.5s" or "10m"`, text)
		return fallback
	}
	if duration < low || duration > high {
		rd.errorf(key, en, "%s is out of range; it must be from %s to %s", text, formatDuration(low), formatDuration(high))
		return fallback
	}
	rd.addValue(key, formatDuration(duration), en)
	return duration
}

// unitText returns a string value that includes a unit, and reports a bare number as one without a unit.
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

// rate reads a number of bytes per second, such as "5KB/s".
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
	size, ok := parseSize(digits)
	if !ok || !hasSuffix {
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
	fraction, ok := parsePercent(text)
	if !ok {
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

// texts reads a list of different strings. checkItem returns what is wrong with an item, or an empty string.
// Faulty items are left out.
func (rd *reader) texts(key string, checkItem func(text string) string) []string {
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
		case checkItem(text) != "":
			rd.errorf(key, en, "%s", checkItem(text))
		default:
			texts = append(texts, text)
		}
	}
	rd.addValue(key, strings.Join(texts, ", "), en)
	return texts
}

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// checkID returns what is wrong with an id, or an empty string.
func checkID(text string) string {
	if text == "" {
		return "an id must not be empty"
	}
	if !idPattern.MatchString(text) {
		return strconv.Quote(text) + " is not an id; it has 1 to 63 lower-case letters, digits, dots, hyphens or underscores"
	}
	return ""
}

// tables returns a reader for each table under the key, sorted by name. checkName returns what is wrong with a name, or an empty
// string.
func (rd *reader) tables(key string, checkName func(name string) string) []*reader {
	inner := rd.table(key)
	if inner == nil {
		return nil
	}
	readers := make([]*reader, 0, len(inner.tb.entries))
	for _, name := range slices.Sorted(maps.Keys(inner.tb.entries)) {
		en := inner.lookup(name)
		if message := checkName(name); message != "" {
			inner.errorf(name, en, "%s", message)
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

// table returns a reader for the table at the key, or nil if the key is missing or not a table.
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
	return &reader{rp: rd.rp, tb: tb, path: rd.fullKey(key), partial: rd.partial, used: map[string]bool{}, values: rd.values}
}

// id returns the part of the reader's path after the parent's path, without quotes.
func (rd *reader) id(parent string) string {
	name := strings.TrimPrefix(rd.path, parent+".")
	if plain, err := strconv.Unquote(name); err == nil {
		return plain
	}
	return name
}

// address reads an IP address and port. The address of a remote machine must have a port and must not be unspecified.
func (rd *reader) address(key string, remote bool) netip.AddrPort {
	text, en := rd.text(key, `an IP number and port, such as "10.0.0.1:8080"`)
	if en == nil {
		return netip.AddrPort{}
	}
	address, message := parseAddress(text, remote)
	if message != "" {
		rd.errorf(key, en, "%s", message)
		return netip.AddrPort{}
	}
	rd.addValue(key, address.String(), en)
	return address
}

// parseAddress returns the address, or what is wrong with it.
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
