package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// deployFile says how the daemon is started.
const deployFile = "deploy/system.toml"

// metricsPort is the port of the deploy file at which a daemon serves its metrics.
const metricsPort = "9464"

// freeIP returns a loopback address at which the port of the metrics is free.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort))
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

// freePort returns a port that is free at ip.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// A daemon is one process of the project.
type daemon struct {
	rec   *record
	name  string
	zone  string
	ip    string
	front string // address for consumers
	ready string
	peer  int // first port for traffic between daemons
	dir   string
	log   *os.File
	store string // address of the store that it calls, if it has one of its own
	cmd   *exec.Cmd
	ended chan struct{}
}

// newDaemon chooses the addresses of a daemon and writes its settings. store is the
// address of the store as this daemon sees it.
func newDaemon(rec *record, dir, name, zone, store string) (*daemon, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	d := &daemon{rec: rec, name: name, zone: zone, ip: ip, dir: dir}
	ports := make([]int, 0, 4)
	for range 4 {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, p)
	}
	d.front = net.JoinHostPort(ip, strconv.Itoa(ports[0]))
	d.ready = net.JoinHostPort(ip, strconv.Itoa(ports[1]))
	d.peer = ports[3]
	control := net.JoinHostPort(ip, strconv.Itoa(ports[2]))
	text := fmt.Sprintf(settingsText, name, ip, zone, ports[3], ports[3]+15, control, d.front, d.ready, control, store)
	return d, os.WriteFile(d.settings(), []byte(text), 0o600)
}

func (d *daemon) settings() string {
	return filepath.Join(d.dir, d.name+".toml")
}

// settingsText are the settings of a small deployment, with the bounds of the users'
// pages for hbit-plates and floorhire-search.
const settingsText = `Node = %q
Role = "tier"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = %q
Zone = %q
Region = "north"
InternalPortRange = [%d,%d]
Seeds = [%q]
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[Zones]
zone-1 = "north"
zone-2 = "north"
zone-3 = "north"
[Listen]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
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
BudgetSlack = 52
ColdOverage = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
[platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`

// start starts the process as the deploy file says.
func (d *daemon) start() error {
	var deploy struct {
		Roles map[string]struct{ Run string }
	}
	if _, err := toml.DecodeFile(deployFile, &deploy); err != nil {
		return err
	}
	words := strings.Fields(deploy.Roles["tier"].Run)
	if len(words) == 0 {
		return errors.New("the deploy file names no command for the role")
	}
	var err error
	d.log, err = os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(words[0], words[1:]...)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZEDOOR_SETTINGS=" + d.settings()}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.rec.add("daemon %s starts", d.name)
	d.ended = make(chan struct{})
	go func() {
		err := d.cmd.Wait()
		d.rec.add("daemon %s has ended: %v", d.name, err)
		close(d.ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(sig syscall.Signal) {
	d.rec.add("daemon %s gets signal %v", d.name, sig)
	_ = d.cmd.Process.Signal(sig)
}

// kill ends the process if it still runs.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	select {
	case <-d.ended:
	default:
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.ended
	}
	_ = d.log.Close()
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			d.rec.add("daemon %s is ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready after %v", d.name, limit)
}
