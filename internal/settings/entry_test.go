package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// minimalEntry sets only the keys that have no default.
const minimalEntry = `[Entry]
ID = "edge-a-1"
DataCentre = "dc-a"
CallerAddress = "10.1.0.40:8227"
ReadyAddress = "10.1.0.40:8220"
PeerPort = 7340
StoreAddress = "10.200.1.7:8223"
`

// TestParseEntry guards against a process that starts with settings that are missing, truncated or invalid, and against one that
// does not start because the platform added a key.
func TestParseEntry(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, text string
		// wantError is a part of the error message; it is empty for valid settings.
		wantError string
	}{
		{"minimal", minimalEntry, ""},
		{"unknown key", minimalEntry + "Later = 3\n[Other]\nKey = 1\n", ""},
		{"empty", "", "Entry"},
		{"truncated", minimalEntry[:60], "not valid TOML"},
		{"missing key", strings.Replace(minimalEntry, "StoreAddress", "Unknown", 1), "Entry.StoreAddress"},
		{"missing port", strings.Replace(minimalEntry, "PeerPort", "Unknown", 1), "Entry.PeerPort"},
		{"invalid address", strings.Replace(minimalEntry, "10.1.0.40:8220", "host", 1), "Entry.ReadyAddress"},
		{"wrong type", minimalEntry + "CapFactor = \"two\"\n", "Entry.CapFactor"},
		{"out of range", minimalEntry + "RetryRatio = 1.5\n", "Entry.RetryRatio"},
		{"no unit", minimalEntry + "Grace = 8\n", "Entry.Grace"},
		{"disabled mechanism", minimalEntry + "Without = [\"Residence\"]\n", ""},
		{"unknown mechanism", minimalEntry + "Without = [\"Luck\"]\n", "Entry.Without"},
		{"unknown mode of fetches", minimalEntry + "KVFetch = \"Often\"\n", "Entry.KVFetch"},
		{"region", minimalEntry + "Region = \"r-1\"\nRegions = { \"dc-a\" = \"r-1\", \"dc-b\" = \"r-2\" }\n", ""},
		{"no regions", minimalEntry + "Region = \"\"\nRegions = {  }\n", ""},
		{"region of the wrong type", minimalEntry + "Region = 1\n", "Entry.Region"},
		{"regions of the wrong type", minimalEntry + "Regions = [\"r-1\"]\n", "Entry.Regions"},
		{"a region of the wrong type", minimalEntry + "Regions = { \"dc-b\" = 1 }\n", "Entry.Regions.dc-b"},
		{"two regions", minimalEntry + "Region = \"r-1\"\nRegions = { \"dc-a\" = \"r-2\" }\n", "Entry.Region"},
		{"unknown policy", minimalEntry + "Placement = \"Best\"\n", "Entry.Placement"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			set, err := settings.ParseEntry(settings.File{Name: "entry.toml", Text: tc.text})
			if tc.wantError == "" {
				if err != nil || set.PeerPort != 7340 || set.Grace != 8*time.Second {
					t.Fatalf("got %+v, %v", set, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tc.wantError) {
				t.Errorf("got error %v, want one with %q", err, tc.wantError)
			}
		})
	}
}

// TestTemplate guards against a deployment template with keys that ParseEntry would ignore as unknown, or with invalid values.
func TestTemplate(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{
		"node_name|json": `"edge-a-1"`, "zone|json": `"dc-a"`, "listen.frontend|json": `"10.1.0.40:8227"`,
		"listen.ready|json": `"10.1.0.40:8220"`, "internal_ports.0": "7340", "platform.address|json": `"10.200.1.7:8223"`,
		".|json": `"10.1.0.41:8229"`, "limits.cpu_quota": "0.272", "limits.memory_mb": "206",
		"bounds.grace_s": "8", "bounds.drain_ms": "2000", "bounds.cap_factor": "2", "bounds.retry_budget_ratio": "0.2",
		"bounds.retry_min_slack": "135", "bounds.retry_window_s": "10", "#seed_nodes": "", "/seed_nodes": "", ",": "",
		"region|json": `"10.1.0.41:8229"`, "#zones": "", "/zones": "", "@": "dc-a",
		"#bounds.cold_overrun": "", "bounds.cold_overrun": "1.6", "/bounds.cold_overrun": "",
		"#bounds.cold_tolerance": "", "bounds.cold_tolerance": "4", "/bounds.cold_tolerance": "",
	}
	filled := regexp.MustCompile(`\{\{(.*?)\}\}`).ReplaceAllStringFunc(string(text), func(placeholder string) string {
		value, found := values[placeholder[2:len(placeholder)-2]]
		if !found {
			t.Errorf("no value for placeholder %s", placeholder)
		}
		return value
	})
	set, err := settings.ParseEntry(settings.File{Name: "settings.toml", Text: filled})
	if err != nil {
		t.Fatal(err)
	}
	if set.PeerPort != 7340 || len(set.Seeds) != 1 || len(set.Regions) != 1 || set.RetrySlack != 135 || set.Processors != 0.272 ||
		set.ColdOverrun != 1.6 || set.ColdTolerance != 4 {
		t.Errorf("got %+v", set)
	}
	for line := range strings.Lines(filled) {
		key, _, found := strings.Cut(line, " = ")
		if found && !strings.HasPrefix(line, "#") && !strings.Contains(knownEntryKeys, " "+key+" ") {
			t.Errorf("unknown key %s in the template", key)
		}
	}
}

// TestTemplateWithoutColdBounds guards against an installation without bounds of cold targets whose hosts start with none.
func TestTemplateWithoutColdBounds(t *testing.T) {
	t.Parallel()
	set, err := settings.ParseEntry(settings.File{Name: "entry.toml", Text: minimalEntry})
	if err != nil || set.ColdOverrun != 1.5 || set.ColdTolerance != 5 {
		t.Errorf("got %+v, %v", set, err)
	}
}

// knownEntryKeys lists all keys of an entry host's settings, each between spaces.
const knownEntryKeys = " ID DataCentre Region Regions CallerAddress ReadyAddress PeerPort MetricsPort StoreAddress Seeds Processors Memory " +
	"Grace Drain CapFactor Placement Without PartMemory KVFetch RetryRatio RetrySlack RetryWindow LogLevel ColdOverrun ColdTolerance "
