package cost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	// addressGroup is the part of the loopback addresses that differs between the hosts of this package and those of others.
	addressGroup = 78

	callerPort  = 28227
	readyPort   = 28220
	peerPort    = 27340
	metricsPort = 27355
	// eventCount is the number of events in a stream. The longest kind of stream in production has 38.
	eventCount = 38
	callBudget = 5 * time.Second
	// clockTicksPerSecond is USER_HZ: /proc/PID/stat counts processor time in these ticks.
	clockTicksPerSecond = 100
)

// host is an entry host that runs as a separate process. Its store and its two runners, one for plain calls and one for streams,
// are stand-ins in the test's process.
type host struct {
	tb      testing.TB
	address string
	client  *http.Client
	pid     int
	// ended is closed when the process has ended.
	ended chan struct{}
}

// deployment is what differs between the hosts of the tests.
type deployment struct {
	// memory is the host's memory in MB.
	memory int
	// runners are the runners of each service; those of the model service send streams.
	runners map[string][]*standin.Runner
}

// newDeployment starts a number of runners for each service.
func newDeployment(tb testing.TB, memory, runnersPerService int) *deployment {
	tb.Helper()
	dp := &deployment{memory: memory, runners: map[string][]*standin.Runner{}}
	for _, service := range []string{"desk", "model"} {
		for index := range runnersPerService {
			rn, err := standin.NewRunner(fmt.Sprintf("i-%s-%d", service, index))
			if err != nil {
				tb.Fatal(err)
			}
			tb.Cleanup(rn.Close)
			if service == "model" {
				rn.Events, rn.Gap = eventCount, time.Millisecond
			}
			dp.runners[service] = append(dp.runners[service], rn)
		}
	}
	return dp
}

// binaryPath is the path of the built command.
var binaryPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the command and runs the tests.
func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "cost")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaryPath = filepath.Join(directory, "chestnutroad")
	build := exec.Command("go", "build", "-o", binaryPath, "../../cmd/chestnutroad") //nolint:noctx // The timeout of go test ends it.
	if text, err := build.CombinedOutput(); err != nil {
		fmt.Printf("go build: %v\n%s", err, text)
		return 1
	}
	return m.Run()
}

// newHost starts a host that writes its log to output, and waits until it serves. The number selects the host's
// loopback address and must be unique in the package.
func newHost(tb testing.TB, number byte, output io.Writer) *host {
	tb.Helper()
	return newDeployment(tb, memoryBound, 1).start(tb, number, output)
}

// start starts a host in front of the deployment's runners, as newHost does.
func (dp *deployment) start(tb testing.TB, number byte, output io.Writer) *host {
	tb.Helper()
	address := standin.Loopback(addressGroup, number).String()
	directory := tb.TempDir()
	store := standin.NewStore()
	tb.Cleanup(store.Close)
	store.Configure(3, 2, "k-1")
	for service, runners := range dp.runners {
		for _, rn := range runners {
			store.PutTarget(rn.ID, rn.Entry(service, "dc-a", "ready"))
		}
	}
	path := filepath.Join(directory, "settings.toml")
	settings := fmt.Sprintf(`[Entry]
ID = "host-1"
DataCentre = "dc-a"
CallerAddress = "%[1]s:%[2]d"
ReadyAddress = "%[1]s:%[3]d"
PeerPort = %[4]d
MetricsPort = %[5]d
StoreAddress = "%[6]s"
Memory = "%[7]dMB"
`, address, callerPort, readyPort, peerPort, metricsPort, store.Address(), dp.memory)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		tb.Fatal(err)
	}
	command := exec.CommandContext(tb.Context(), binaryPath, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = output, os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		tb.Fatal(err)
	}
	hs := &host{
		tb: tb, address: address, pid: command.Process.Pid,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
		ended:  make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		close(hs.ended)
	}()
	tb.Cleanup(func() {
		hs.client.CloseIdleConnections()
		_ = command.Process.Kill()
		<-hs.ended
	})
	for end := time.Now().Add(10 * time.Second); hs.call("stock", "ready") != nil; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("the host does not serve after 10 s")
		}
	}
	return hs
}

// call sends one call and reads the whole answer; it returns an error unless the status is 200.
func (hs *host) call(kind, id string) error {
	return hs.callWithPrefix(kind, id, "a:10,b:20", callBudget)
}

// callWithPrefix does the same for a prompt with the parts and a time budget.
func (hs *host) callWithPrefix(kind, id, prefix string, budget time.Duration) error {
	ctx, cancel := context.WithTimeout(hs.tb.Context(), budget)
	defer cancel()
	req, err := standin.NewRequest(ctx, fmt.Sprintf("%s:%d", hs.address, callerPort), &standin.Call{
		Method: http.MethodPost, Path: "/" + kind + "/x", ID: id, Key: "k-1", Body: id,
		Budget: budget, Prefix: prefix,
	})
	if err != nil {
		return err
	}
	resp, err := hs.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// processorTime returns the user and system time that the process has used, with a resolution of 10 ms.
func (hs *host) processorTime() time.Duration {
	hs.tb.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", hs.pid))
	if err != nil {
		hs.tb.Fatal(err)
	}
	// Field 2, the program's name in brackets, may contain spaces. User and system time are fields 14 and 15.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	ticks := 0
	for _, field := range fields[11:13] {
		count, err := strconv.Atoi(field)
		if err != nil {
			hs.tb.Fatal(err)
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// memory returns a value of /proc/PID/status in MB: VmRSS is the process's resident memory, VmHWM its peak.
func (hs *host) memory(name string) float64 {
	hs.tb.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", hs.pid))
	if err != nil {
		hs.tb.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+":"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				hs.tb.Fatal(err)
			}
			return float64(kilobytes) / 1024
		}
	}
	hs.tb.Fatalf("/proc/%d/status has no field %s", hs.pid, name)
	return 0
}

// metric returns the value of a metric that has no labels.
func (hs *host) metric(name string) float64 {
	hs.tb.Helper()
	ctx, cancel := context.WithTimeout(hs.tb.Context(), callBudget)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/metrics", hs.address, metricsPort)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		hs.tb.Fatal(err)
	}
	resp, err := hs.client.Do(req)
	if err != nil {
		hs.tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		hs.tb.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				hs.tb.Fatal(err)
			}
			return number
		}
	}
	hs.tb.Fatalf("the host serves no metric %s", name)
	return 0
}
