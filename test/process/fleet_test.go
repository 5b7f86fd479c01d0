package process

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/load"
	"github.com/chestnutroad/chestnutroad/internal/operator"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/standin/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin/service"
)

const readyTimeout = 30 * time.Second

// binaries holds the paths of the built commands.
var binaries struct{ chestnutroad, standin string }

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	// A command inherits an ignored signal, as under nohup; a handled one has its default action there.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	directory, err := os.MkdirTemp("", "chestnutroad")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-o", directory, "../../cmd/...") //nolint:noctx // the timeout of go test ends it
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Printf("go build: %v\n%s", err, output)
		return 1
	}
	binaries.chestnutroad = filepath.Join(directory, "chestnutroad")
	binaries.standin = filepath.Join(directory, "standin")
	return m.Run()
}

// process is a running command.
type process struct {
	name    string
	command *exec.Cmd
	stderr  bytes.Buffer
	address string
	exited  chan struct{}
}

// start starts a command and returns it with its standard output. The command is killed when the test ends; if the test has
// failed, the end of its standard error is logged. The caller must call wait.
func start(t *testing.T, name, binary string, arguments ...string) (*process, io.Reader) {
	t.Helper()
	ps := &process{name: name, exited: make(chan struct{})}
	ps.command = exec.CommandContext(t.Context(), binary, arguments...)
	ps.command.Stderr = &ps.stderr
	stdout, err := ps.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := ps.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ps.signal(syscall.SIGCONT)
		ps.signal(syscall.SIGKILL)
		<-ps.exited
		if t.Failed() {
			t.Logf("the log of %s ends with:\n%s", name, tail(ps.stderr.String(), 40))
		}
	})
	return ps, stdout
}

// tail returns the last lines of a text.
func tail(text string, count int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// signal sends a signal to the process, and not to its children.
func (ps *process) signal(signal os.Signal) { _ = ps.command.Process.Signal(signal) }

// wait waits for the end of the process and closes exited.
func (ps *process) wait() {
	_ = ps.command.Wait()
	close(ps.exited)
}

// startStandIn starts a stand-in and reads its address from the first line of its output.
func startStandIn(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	ps, stdout := start(t, name, binaries.standin, arguments...)
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	go ps.wait()
	var started struct{ Address string }
	if err != nil || json.Unmarshal(line, &started) != nil {
		t.Fatalf("%s: no address in %q: %v", name, line, err)
	}
	ps.address = started.Address
	return ps
}

// fleet is a site whose routers, log, host list and targets are separate processes.
type fleet struct {
	log, hostList *process
	engines       []*process
	orders        []*process
	routers       []*router
}

// router is a router process, with its id, the addresses of its ports and the path of its settings.
type router struct {
	*process
	id             string
	caller         string
	peer           string
	operator       string
	settingsPath   string
	extraArguments []string
}

// centres are the data centres of the site; each has one engine and one order service.
var centres = []string{"poznan-a", "poznan-b", "konin"}

// startFleet starts a log, a host list, an engine and an order service in each data centre, and the given number of routers. It
// publishes the configuration and waits until all the routers are ready.
func startFleet(t *testing.T, routers int) *fleet {
	t.Helper()
	fl := &fleet{log: startStandIn(t, "log", "log")}
	hosts := platform.HostsResponse{}
	for index, centre := range centres {
		name := fmt.Sprintf("engine-%d", index+1)
		target := startStandIn(t, name, "engine", "--id", name, "--token-time", "5ms", "--batch-time", "0s")
		fl.engines = append(fl.engines, target)
		hosts.Hosts = append(hosts.Hosts, listedTarget(name, "assistant", centre, target.address))
		name = fmt.Sprintf("orders-%d", index+1)
		target = startStandIn(t, name, "service")
		fl.orders = append(fl.orders, target)
		hosts.Hosts = append(hosts.Hosts, listedTarget(name, "orders", centre, target.address))
	}
	directory := t.TempDir()
	file := filepath.Join(directory, "hosts.json")
	writeJSON(t, file, hosts)
	fl.hostList = startStandIn(t, "host list", "hostlist", "--hosts", file)
	for index := range routers {
		fl.routers = append(fl.routers, fl.newRouter(t, directory, index))
	}
	for _, rt := range fl.routers {
		rt.start(t)
	}
	fl.publish(t)
	fl.awaitReady(t)
	return fl
}

func listedTarget(name, service, centre, address string) chestnutroad.ListedHost {
	return chestnutroad.ListedHost{
		Name: name, Role: chestnutroad.RoleTarget, Service: chestnutroad.ServiceID(service),
		DataCentre: chestnutroad.DataCentreID(centre), Address: address,
	}
}

func writeJSON(t *testing.T, path string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// newRouter writes the settings of a router. All routers but the first have the first one as their peer.
func (fl *fleet) newRouter(t *testing.T, directory string, index int) *router {
	t.Helper()
	ports := freePorts(t, index, 3)
	rt := &router{
		id: fmt.Sprintf("router-%d", index+1), caller: ports[0], peer: ports[1], operator: ports[2],
		settingsPath: filepath.Join(directory, fmt.Sprintf("router-%d.toml", index+1)),
	}
	peers := ""
	if index > 0 {
		peers = fmt.Sprintf("Peers = { %s = %q }\n", fl.routers[0].id, fl.routers[0].peer)
	}
	text := fmt.Sprintf(`[Host]
ID = %q
Site = "wielkopolska"
DataCentre = %q
CallerAddress = %q
PeerAddress = %q
OperatorAddress = %q
LogAddress = %q
HostListAddress = %q
ClusterKey = "925abff564b434334802067be96b16015db36dd4f86671dc2391ce326700fdac"
TimelineFile = "router-%d.jsonl"
LogLevel = "debug"
%s`, rt.id, centres[index%len(centres)], rt.caller, rt.peer, rt.operator, fl.log.address, fl.hostList.address,
		index+1, peers)
	if err := os.WriteFile(rt.settingsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return rt
}

func (rt *router) start(t *testing.T) {
	t.Helper()
	rt.process, _ = start(t, rt.id, binaries.chestnutroad,
		append([]string{"serve", "--host", rt.settingsPath}, rt.extraArguments...)...)
	go rt.wait()
}

// freePorts returns loopback addresses with distinct free ports for the router of the index. It keeps the listeners open until it
// has all the ports, so that the system does not assign one twice. The IP address depends on the process id and the index: on a
// shared address, a connection of another process may take a port before the router listens on it.
func freePorts(t *testing.T, index, count int) []string {
	t.Helper()
	pid := os.Getpid()
	addresses := make([]string, 0, count)
	for range count {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp",
			fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&0x7f, pid&0xff, 1+index))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// publish publishes the configuration of the example as the next version.
func (fl *fleet) publish(t *testing.T) {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), binaries.chestnutroad, "config", "publish", "--log", fl.log.address,
		"../../examples/warta/base.toml", "../../examples/warta/wielkopolska.toml").CombinedOutput()
	if err != nil {
		t.Fatalf("config publish: %v\n%s", err, output)
	}
}

// awaitReady waits until all routers are ready and report no reason why a part of them is not; the test fails after readyTimeout.
func (fl *fleet) awaitReady(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for _, rt := range fl.routers {
		for {
			readiness, err := rt.readiness(t)
			if err == nil && readiness.Ready && len(readiness.Reasons) == 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s is not ready after %v: %+v, %v", rt.id, readyTimeout, readiness, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (rt *router) readiness(t *testing.T) (operator.Readiness, error) {
	t.Helper()
	var readiness operator.Readiness
	err := getJSON(t, "http://"+rt.operator+operator.PathReady, &readiness)
	return readiness, err
}

// getJSON decodes the JSON body of the answer at a URL.
func getJSON(t *testing.T, url string, into any) error {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// plan returns a load of chats and orders on all routers that lasts for the duration and checks the content of chat answers.
func (fl *fleet) plan(duration time.Duration) load.Plan {
	plan := load.Plan{
		Token: "order-desk-token", Model: "warta-assistant", OrderPath: "/orders", OrderShare: 0.3,
		Rate: 40, Duration: duration, Chats: 30, MaxTokens: 60, Seed: 11, MaxAttempts: 20, CheckChat: checkChat,
	}
	for _, rt := range fl.routers {
		plan.Entries = append(plan.Entries, "http://"+rt.caller)
	}
	return plan
}

// checkChat returns an error unless the content is the answer that an engine gives to the request body.
func checkChat(body []byte, content string) error {
	tokens, err := engine.ExpectedTokens(body, 0)
	if err != nil {
		return err
	}
	if want := strings.Join(tokens, ""); content != want {
		return errors.New("the content is not the answer to the request")
	}
	return nil
}

// checkOrders requires that no order ran more than once, and that every answered order ran.
func (fl *fleet) checkOrders(t *testing.T, report *load.Report) {
	t.Helper()
	counts := map[string]int{}
	for _, target := range fl.orders {
		var executions service.Executions
		if err := getJSON(t, "http://"+target.address+"/admin/executions", &executions); err != nil {
			t.Fatal(err)
		}
		for _, execution := range executions.Executions {
			counts[execution.Key] += execution.Count
		}
	}
	for key, count := range counts {
		if count > 1 {
			t.Errorf("order %s ran %d times, want once", key, count)
		}
	}
	for key := range report.Receipts() {
		if counts[key] == 0 {
			t.Errorf("order %s was answered but did not run", key)
		}
	}
}
