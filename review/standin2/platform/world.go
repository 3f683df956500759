package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &record{file: file, start: time.Now()}
}

func (record *record) write(format string, arguments ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// bucket limits what is sent over a machine's link, as linkMbps does.
type bucket struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
}

// send writes a text in pieces at the link's rate, which all its senders share.
func (bucket *bucket) send(conn net.Conn, text string) error {
	const piece = 64 << 10
	for len(text) > 0 {
		size := min(piece, len(text))
		bucket.mu.Lock()
		now := time.Now()
		if bucket.freeAt.Before(now) {
			bucket.freeAt = now
		}
		wait := bucket.freeAt.Sub(now)
		bucket.freeAt = bucket.freeAt.Add(time.Duration(float64(size) / bucket.bytesPerSecond * float64(time.Second)))
		bucket.mu.Unlock()
		time.Sleep(wait)
		if _, err := conn.Write([]byte(text[:size])); err != nil {
			return err
		}
		text = text[size:]
	}
	return nil
}

// vm is a process of the system under test.
type vm struct {
	name, ip, zone string
	memoryMB       int
	front, ready   string
	store          string
	settings, log  string
	record         *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet has the VMs and what they talk to.
type fleet struct {
	folder       string
	program      string
	record       *record
	store        *kvStore
	cloudAddress string
	group        *group
	vms          []*vm
	isOver       chan struct{}
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// newFleet starts the stand-ins, and prepares VMs on loopback addresses.
func newFleet(record *record, links map[string]*bucket, memoryMB []int, syncReplicas int) *fleet {
	folder, err := os.MkdirTemp("", "review2-")
	check(err)
	net3 := 40 + os.Getpid()%150
	ip := func(host int) string { return fmt.Sprintf("127.%d.%d.%d", net3, os.Getpid()/150%250, host) }
	made := &fleet{folder: folder, program: os.Getenv("BRAMLEYVM"), record: record, store: newStore(), isOver: make(chan struct{})}
	made.group = newGroup("ledger", ip(2), zoneNames[:3], 3, record, made.store, links)
	made.group.sync = syncReplicas
	cloud := http.NewServeMux()
	cloud.HandleFunc("POST /failover", made.group.failover)
	made.cloudAddress = serveHTTP(ip(3), cloud)
	made.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-1", "host": "writes", "prefix": "/", "type": "primary", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 1, "service": "ledger", "attempts": 2},
			{"name": "r-2", "host": "lookups", "prefix": "/", "type": "bounded", "timeoutMs": 2000, "targetLatencyMs": 500, "priority": 2, "service": "ledger", "attempts": 2, "maxStalenessMs": 1500},
		},
		"services": []map[string]any{{"name": "ledger", "healthCheckPath": "/healthz", "maxConns": 23, "protocol": "h1", "tls": false, "syncReplicas": syncReplicas}},
		"limits":   map[string]any{"txIdleMs": 3000},
	})
	go made.group.run(made.isOver)
	for index, memory := range memoryMB {
		address := ip(10 + index)
		made.vms = append(made.vms, &vm{
			name: fmt.Sprintf("front-%d", index), ip: address, store: serveHTTP(ip(1), made.store.handlerFor(index)), zone: zoneNames[index%len(zoneNames)], memoryMB: memory, record: record,
			front: address + ":8784", ready: address + ":8785",
			settings: filepath.Join(folder, fmt.Sprintf("vm%d.conf", index)), log: filepath.Join(folder, fmt.Sprintf("vm%d.log", index)),
		})
	}
	return made
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		stopAll()
		os.Exit(2)
	}
}

// writeSettings writes the settings file that DEPLOY.md describes.
func (fleet *fleet) writeSettings(vm *vm) {
	lines := []string{
		"nodeName=" + vm.name, "role=door", "machineClass=front", "serves=front", "ip=" + vm.ip, "zone=" + vm.zone, "region=region-1",
		"listen.front=" + vm.front, "listen.ready=" + vm.ready, "listen.control=" + vm.ip + ":8782", "internalPorts=7440,7455",
		"bootstrap=true", "limits.cpuShare=0.8", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", vm.memoryMB), "limits.maxFds=6300",
		"limits.linkMbps=1500.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"bounds.contactMs=4000", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=3000",
		"platform.address=" + vm.store, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "cloud.address=" + fleet.cloudAddress, "cloud.duties=failover",
	}
	check(os.WriteFile(vm.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}

// start starts a VM's process.
func (fleet *fleet) start(vm *vm) {
	fleet.writeSettings(vm)
	log, err := os.OpenFile(vm.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	command := exec.Command(fleet.program)
	command.Env = []string{"BRAMLEYDOOR_SETTINGS=" + vm.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	check(command.Start())
	started.Store(command.Process.Pid, command.Process)
	vm.mu.Lock()
	vm.command, vm.ended = command, make(chan struct{})
	ended := vm.ended
	vm.mu.Unlock()
	go func() {
		err := command.Wait()
		started.Delete(command.Process.Pid)
		vm.record.write("process %d of %s ended: %v", command.Process.Pid, vm.name, err)
		close(ended)
	}()
}

// started has the processes that run.
var started sync.Map

// stopAll ends all processes that were started.
func stopAll() {
	started.Range(func(_, process any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

// awaitReady waits until the readiness check answers 200.
func (vm *vm) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + vm.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// residentMB returns the resident memory of the VM's process.
func (vm *vm) residentMB() int {
	vm.mu.Lock()
	pid := vm.command.Process.Pid
	vm.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// enforceMemory kills each process of a VM that exceeds its memory, and starts the next one a
// second later, as the platform does. It counts the processes that were killed.
func (fleet *fleet) enforceMemory(vm *vm, killed *atomic.Int64) {
	highest := 0
	for {
		select {
		case <-fleet.isOver:
			vm.record.write("highest memory of %s: %d MB of %d; killed %d times", vm.name, highest, vm.memoryMB, killed.Load())
			return
		case <-time.After(10 * time.Millisecond):
		}
		resident := vm.residentMB()
		highest = max(highest, resident)
		if resident > vm.memoryMB {
			vm.record.write("%s has %d MB, over its limit of %d MB: the platform kills it", vm.name, resident, vm.memoryMB)
			vm.mu.Lock()
			command, ended := vm.command, vm.ended
			vm.mu.Unlock()
			_ = command.Process.Kill()
			<-ended
			killed.Add(1)
			time.Sleep(time.Second)
			fleet.start(vm)
		}
	}
}

// stop ends all processes.
func (fleet *fleet) stop() {
	close(fleet.isOver)
	time.Sleep(50 * time.Millisecond)
	for _, vm := range fleet.vms {
		vm.mu.Lock()
		command, ended := vm.command, vm.ended
		vm.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	} else {
		fmt.Println(fleet.folder)
	}
}

// client is a consumer's session.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// open opens a session with a database name. A small receive buffer stands for the platform's
// small windows.
func open(address, name string, receiveBuffer int) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	if receiveBuffer > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	}
	opened := &client{conn: conn, reader: bufio.NewReaderSize(conn, 4096)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s consumer\r\n", name)
	line, err := readMessage(opened.reader)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%s", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return opened, nil
}

// send sends a request.
func (client *client) send(id, text string) error {
	_, err := fmt.Fprintf(client.conn, "QUERY %s %s\r\n", id, text)
	return err
}

// receive reads an answer up to its READY. It returns the number of rows and of their bytes, and
// the COMPLETE or ERROR.
func (client *client) receive(timeout time.Duration) (rows, size int, result string, err error) {
	_ = client.conn.SetReadDeadline(time.Now().Add(timeout))
	for {
		line, err := readMessage(client.reader)
		if err != nil {
			return rows, size, result, err
		}
		switch keyword, rest, _ := strings.Cut(line, " "); keyword {
		case "DATAROW":
			rows++
			size += len(rest)
		case "READY":
			return rows, size, result, nil
		default:
			result = line
		}
	}
}
