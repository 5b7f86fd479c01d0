package operating

import (
	"os"
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/knownred"
)

// removeServiceScript publishes a configuration without the service search while host-2 owns its shard, and drains host-2. It
// fails unless host-2 has ended after 10 s.
const removeServiceScript = `
cp host-2.pid drained.pid
chestnutroad config publish --log $LOG --parent 3 base.toml before.toml
until chestnutroad status $OPERATOR_2 | awk '$5 == 4 { found = 1 } END { exit !found }'; do sleep 0.2; done
while chestnutroad status --shards $OPERATOR_2 | grep 'target search-1'; do sleep 0.2; done
kill -TERM $(cat drained.pid)
for try in 1 2 3 4 5 6 7 8 9 10; do
  kill -0 $(cat drained.pid) 2> gone.out || exit 0
  sleep 1
done
curl -s http://$OPERATOR_2/metrics | grep '^chestnutroad_shards_owned'
exit 1
`

// TestDrainAfterServiceIsRemoved guards against a drain that never ends. A host that owns a shard of a service must release the
// shard when the service is removed from the configuration; otherwise its drain waits for the shard.
func TestDrainAfterServiceIsRemoved(t *testing.T) {
	knownred.Skip(t, "test/operating")
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	directory, environment := t.TempDir(), buildEnvironment(t)
	t.Cleanup(func() { killProcesses(t, directory) })
	for _, block := range shellBlocks(string(page)) {
		runBlock(t, directory, environment, block)
		if strings.Contains(block, "[Services.search]") {
			break
		}
	}
	runBlock(t, directory, environment, removeServiceScript)
}
