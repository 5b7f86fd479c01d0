package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/operator"
)

// Status prints the status of hosts.
type Status struct {
	Timeout time.Duration    `arg:"--timeout" default:"3s" help:"longest time to wait for a host"`
	Shards  bool             `arg:"--shards" help:"print the shards and targets of each host too"`
	JSON    bool             `arg:"--json" help:"print JSON"`
	Hosts   []netip.AddrPort `arg:"positional,required" placeholder:"IP:PORT" help:"operators' addresses of hosts"`
}

// HostStatus is the status of one host, or the error of the request.
type HostStatus struct {
	Address netip.AddrPort
	Error   string           `json:",omitempty"`
	Status  *operator.Status `json:",omitempty"`
}

// maxStatusBytes limits the response body that is read from a host.
const maxStatusBytes = 16 << 20

// Run queries all hosts concurrently and prints their answers in the order of the arguments.
func (cm *Status) Run(ctx context.Context, env *Environment) error {
	ctx, cancel := context.WithTimeout(ctx, cm.Timeout)
	defer cancel()
	answers := make([]HostStatus, len(cm.Hosts))
	var group sync.WaitGroup
	for index, address := range cm.Hosts {
		group.Go(func() { answers[index] = queryHost(ctx, env.Client, address) })
	}
	group.Wait()
	if err := cm.write(env, answers); err != nil {
		return err
	}
	return statusResult(answers)
}

func queryHost(ctx context.Context, client *http.Client, address netip.AddrPort) HostStatus {
	status, err := fetchStatus(ctx, client, address)
	if err != nil {
		return HostStatus{Address: address, Error: err.Error()}
	}
	return HostStatus{Address: address, Status: status}
}

func fetchStatus(ctx context.Context, client *http.Client, address netip.AddrPort) (*operator.Status, error) {
	url := "http://" + address.String() + operator.PathStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	// The body is only read, so an error on closing it loses nothing.
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("the host answered %s", answer.Status)
	}
	var status operator.Status
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxStatusBytes)).Decode(&status); err != nil {
		return nil, errors.Wrap(err, "the host's answer is not a status")
	}
	return &status, nil
}

// statusResult returns an error with CodeUnreachable when a host gave no status, otherwise errFinding when one is not ready.
func statusResult(answers []HostStatus) error {
	unreachable, unready := 0, 0
	for _, answer := range answers {
		switch {
		case answer.Status == nil:
			unreachable++
		case !answer.Status.Ready():
			unready++
		}
	}
	if unreachable > 0 {
		return Exit(CodeUnreachable, errors.Newf("%d of %d hosts could not be asked", unreachable, len(answers)))
	}
	if unready > 0 {
		return errFinding
	}
	return nil
}

func (cm *Status) write(env *Environment, answers []HostStatus) error {
	if cm.JSON {
		return writeJSON(env.Out, answers)
	}
	rows := [][]string{{"ADDRESS", "HOST", "DATA CENTRE", "READY", "CONFIG", "LOG", "MEMBERS", "OWNS", "OPEN", "REFUSED", "CONTROL"}}
	for _, answer := range answers {
		rows = append(rows, answer.row())
	}
	if err := writeTable(env.Out, rows); err != nil {
		return err
	}
	for _, answer := range answers {
		cm.writeDetails(env, answer)
	}
	return nil
}

func (hs HostStatus) row() []string {
	if hs.Status == nil {
		return []string{hs.Address.String(), "-", "-", "unreachable"}
	}
	st := hs.Status
	owned := 0
	for _, shard := range st.Shards {
		if shard.Own {
			owned++
		}
	}
	return []string{
		hs.Address.String(), string(st.Host), string(st.DataCentre), readyText(st),
		strconv.FormatUint(uint64(st.Configuration.Version), 10), logText(st.Log), strconv.Itoa(len(st.Members)),
		strconv.Itoa(owned), strconv.FormatInt(st.Requests.Open, 10), strconv.FormatUint(st.Requests.Refused, 10),
		fmt.Sprintf("%.0fB/s", st.Control.BytesPerSecond),
	}
}

// readyText is "partly" when only a part of the host, such as its orders, is not ready.
func readyText(st *operator.Status) string {
	switch {
	case st.Draining:
		return "draining"
	case !st.Ready():
		return "no"
	case len(st.NotReady) > 0:
		return "partly"
	default:
		return "yes"
	}
}

func logText(st operator.LogStatus) string {
	if st.Available {
		return "up"
	}
	return "down"
}

// writeDetails prints the error of the request or the reasons why the host is not ready, and its shards with --shards.
func (cm *Status) writeDetails(env *Environment, answer HostStatus) {
	if answer.Status == nil {
		printf(env.Out, "%s: %s\n", answer.Address, answer.Error)
		return
	}
	for _, reason := range answer.Status.NotReady {
		printf(env.Out, "%s: %s: %s\n", answer.Status.Host, reason.Part, reason.Message)
	}
	if !cm.Shards {
		return
	}
	for _, shard := range answer.Status.Shards {
		writeShard(env, answer.Status, shard)
	}
}

func writeShard(env *Environment, st *operator.Status, shard operator.Shard) {
	printf(env.Out, "%s: shard %s/%s, owner %s, %d queued, %d chats placed\n",
		st.Host, shard.Pool, shard.DataCentre, shard.Owner, shard.Queued, shard.Placements)
	for _, target := range shard.Targets {
		printf(env.Out, "%s:   target %s, %s, %d running, %d work units\n",
			st.Host, target.Target, target.State, target.Running, target.Work)
	}
}
