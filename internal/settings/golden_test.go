package settings_test

import (
	"fmt"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// entryText states every key of an entry host's settings.
const entryText = minimalEntry + `Region = "r-1"
Regions = { "dc-b" = "r-2" }
MetricsPort = 7355
Seeds = ["10.1.0.41:8229"]
Processors = 0.272
Memory = "206MB"
Drain = "3s"
Grace = "9s"
CapFactor = 2.5
Placement = "ConsistentHash"
Without = ["Residence"]
PartMemory = "77s"
KVFetch = "On"
RetryRatio = 0.3
RetrySlack = 135
RetryWindow = "11s"
LogLevel = "warn"
`

// TestEntryKeys guards against a renamed key, which is ignored like a key that the platform added.
func TestEntryKeys(t *testing.T) {
	t.Parallel()
	en, err := settings.ParseEntry(settings.File{Name: "entry.toml", Text: entryText})
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "entry.txt", fmt.Sprintln(
		en.ID, en.DataCentre, en.Region, en.Regions, en.CallerAddress, en.ReadyAddress, en.PeerPort, en.MetricsPort, en.StoreAddress, en.Seeds,
		en.Processors, en.Memory, en.Drain, en.Grace, en.CapFactor, en.Placement, en.Without, en.PartMemory, en.KVFetch,
		en.RetryRatio, en.RetrySlack, en.RetryWindow, en.LogLevel,
	))
}

// TestBodyForm guards against a renamed field of the settings files in a configuration record.
func TestBodyForm(t *testing.T) {
	t.Parallel()
	body, err := settings.MarshalBody([]settings.File{{Name: "base.toml", Text: "Name = 1"}})
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "body.json", string(body)+"\n")
}

// TestExampleKeys guards against a renamed key of a site's settings.
func TestExampleKeys(t *testing.T) {
	t.Parallel()
	for _, user := range []struct{ name, site string }{{"warta", "wielkopolska"}, {"kaffivakt", "is-sudvestur"}} {
		set, err := settings.Load("../../examples/"+user.name+"/base.toml", "../../examples/"+user.name+"/"+user.site+".toml")
		if err != nil {
			t.Fatal(err)
		}
		text := ""
		for _, site := range set.Sites() {
			effective, _ := set.Effective(site)
			for _, value := range effective.Values {
				text += fmt.Sprintln(site, value.Key, value.Value)
			}
		}
		golden.Text(t, user.name+".txt", text)
	}
}
