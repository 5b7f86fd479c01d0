package host

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/examples"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestRetentionReachesReaders guards against settings whose LogRetention does not reach the readers of the streams.
// Snapshots are then written for another retention than the log's: records expire before the first snapshot, and a new
// host finds no base.
func TestRetentionReachesReaders(t *testing.T) {
	site := startSoloSite(t)
	files := examples.Warta()
	files[1].Text += "\n[Fleet]\nLogRetention = \"48h\"\n"
	parsed, err := settings.Parse(files...)
	if err != nil {
		t.Fatal(err)
	}
	effective, _ := parsed.Effective(chestnutroad.SiteID("wielkopolska"))
	site.host.UseSettings(effective)
	if got := site.host.orders.machine.Retention(); got != 48*time.Hour {
		t.Errorf("the orders' snapshots are written for a retention of %v, want 48h", got)
	}
	if got := site.host.configuration.reader.Retention(); got != 48*time.Hour {
		t.Errorf("the configuration's snapshots are written for a retention of %v, want 48h", got)
	}
	if owners := site.host.orderOwnerCount(); owners != 1 {
		t.Errorf("%d hosts share the append budget, want 1", owners)
	}
}
