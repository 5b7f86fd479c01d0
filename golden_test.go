package chestnutroad_test

import (
	"fmt"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/golden"
)

// TestWrittenForms guards against renamed words that callers, peers, settings, logs and metrics carry.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	text := ""
	for _, answer := range chestnutroad.Kinds() {
		text += fmt.Sprintf("%s %d NotRun=%t Retry=%t Elsewhere=%t\n", answer.Kind, answer.Status, answer.NotRun, answer.Retry, answer.Elsewhere)
	}
	for priority := range chestnutroad.Priority(5) {
		text += fmt.Sprintln("Priority", priority)
	}
	shard := chestnutroad.ShardID{Pool: chestnutroad.PoolID{Site: "site", Service: "service"}, DataCentre: "dc"}
	text += fmt.Sprintln(shard, chestnutroad.ChatID(255))
	text += fmt.Sprintln(chestnutroad.StreamConfiguration, chestnutroad.StreamOrders, chestnutroad.StreamControl)
	text += fmt.Sprintln(chestnutroad.RoleRouter, chestnutroad.RoleTarget)
	golden.Text(t, "words.txt", text)
}
