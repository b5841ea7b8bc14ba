package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, and its argument.
const (
	program  = "target/bronzedoor"
	argument = "serve"
)

// settingsText is a settings file as in DEPLOY.md. The words in capitals are replaced.
const settingsText = `Node = "NAME"
Role = "tier"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "IPADDR"
Zone = "ZONE"
Region = "r-ZONE"
InternalPortRange = [PEERPORT,PEERPORT]
Seeds = ["SEED:8224"]
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[Zones]
z1 = "r-z1"
z2 = "r-z2"
z3 = "r-z3"
[Listen]
Front = "IPADDR:FRONTPORT"
Ready = "IPADDR:READYPORT"
Control = "IPADDR:8224"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = MEMORY
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 1
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 5000
AckMs = 6000
CatchUpS = 4
DrainMs = 4000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 4000
RollbackSlackMs = 250
MaxSkewMs = 15000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 56
ColdOverage = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
[platform]
Address = "STORE"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`

// memoryMb is the memory limit of a daemon in the site files floorhire-search and
// hbit-plates.
const memoryMb = 284

// A daemon is a process of the system under test.
type daemon struct {
	name  string
	front string // address for consumers
	ready string
	cmd   *exec.Cmd
	done  chan struct{}
	dir   string
}

// A fleet is the daemons of a run, one in each of the zones z1, z2 and z3.
type fleet struct {
	daemons []*daemon
	dir     string
}

// startFleet starts n daemons, and waits until all are ready. After an error none is left.
func startFleet(s *store, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	err = f.start(s, n)
	if err == nil {
		err = f.awaitReady(10 * time.Second)
	}
	if err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// start starts n daemons. All use the same ports, on addresses of their own.
func (f *fleet) start(s *store, n int) error {
	ports, err := freePorts(3)
	if err != nil {
		return err
	}
	// Runs at the same time need different addresses, as the port of the metrics is fixed.
	prefix := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%64, 1+os.Getpid()/64%250)
	for i := range n {
		d := &daemon{name: fmt.Sprintf("edge-z%d-1", i%3+1), dir: f.dir}
		ip := fmt.Sprintf("%s.%d", prefix, 10+i)
		d.front, d.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
		text := strings.NewReplacer(
			"NAME", d.name, "IPADDR", ip, "ZONE", fmt.Sprintf("z%d", i%3+1), "PEERPORT", fmt.Sprint(ports[2]),
			"SEED", prefix+".10", "FRONTPORT", fmt.Sprint(ports[0]), "READYPORT", fmt.Sprint(ports[1]),
			"STORE", s.address, "MEMORY", fmt.Sprint(memoryMb),
		).Replace(settingsText)
		if err := os.WriteFile(d.file("toml"), []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	return nil
}

// file returns the path of a file of the daemon.
func (d *daemon) file(suffix string) string {
	return filepath.Join(d.dir, d.name+"."+suffix)
}

// start starts the process.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(program, argument)
	d.cmd.Env = []string{"BRONZEDOOR_SETTINGS=" + d.file("toml"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	running.add(d.cmd.Process)
	done := make(chan struct{})
	d.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(done)
	}(d.cmd)
	return nil
}

// running are the processes that were started.
var running processes

// A processes is a list of processes.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, process)
}

// kill kills all processes. An error means that one has ended.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.all {
		_ = process.Kill()
	}
}

// signal sends a signal to the process. An error means that it has ended.
func (d *daemon) signal(sig syscall.Signal) {
	_ = d.cmd.Process.Signal(sig)
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range f.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				log, _ := os.ReadFile(d.file("log"))
				return fmt.Errorf("%s isn't ready: %s", d.name, log[max(len(log)-500, 0):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGKILL)
		<-d.done
	}
	_ = os.RemoveAll(f.dir)
}

// freePorts returns ports that are free on 127.0.0.1.
func freePorts(n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}
