package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// allocator is a process of the project's program, started with the command of the deploy file.
type allocator struct {
	record *record
	dir    string // temporary folder of this allocator
	config map[string]any
	listen string
	cmd    *exec.Cmd
	ended  chan struct{} // closed once the process has ended
}

// settings are like those of the page WIRE for a small deployment. The groups are a restartable one and a run-once one.
const settings = `{"balancers":1,"ordinal":0,"zones":["umea-1"],"kinds":["small","large"],"discovery":"subscribe",
 "contract":{"answer_slack_ns":8000000,"ask_within_ns":10000000000,"cold_from":0.28,"cold_ns":17000000000,
  "overload_factor":3.0,"overload_for_ns":2000000000,"stop_sending_within_ns":250000000},
 "report":{"fields":["x0","x1","backlog"],"source":"inline"},
 "permissions":{"most_tries":4,"probes":true,"connect_timeout_ns":250000000,"keepalive_ns":30000000000,
  "may_cancel":true,"may_duplicate":false,"retry_after":false,"peers":false,"max_open":1000000},
 "request_classes":[
  {"name":"map-tiles","aim_ns":1000000000,"deadline_ns":6000000000,"effect":"read_like","dedup_scope":"all",
   "window_ns":5000000000,"stays":true,"value":1.0},
  {"name":"season-trace","aim_ns":5500000000,"deadline_ns":10000000000,"effect":"non_idempotent","dedup_scope":"all",
   "window_ns":5000000000,"stays":true,"value":5.0}],
 "family_info":{"cold_bears":54.0,"confirms":"running","report_counts":"used","free_in_list":true,
  "check_after_ns":3000000000,"kind_cores":[26,41],"memory_by_kind":[37.0,65.0],"apart_by":["off","off"],
  "spread_most":[2,2],"calm_level":[0.8,0.8],"lost_after":[0.15,0.15],"kind_by_class":[-1,-1]}}`

// newAllocator prepares an allocator with a free address. journal is the discovery service's address.
func newAllocator(r *record, dir, journal string) (*allocator, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("find a free port: %w", err)
	}
	listen := listener.Addr().String()
	if err := listener.Close(); err != nil {
		return nil, fmt.Errorf("find a free port: %w", err)
	}
	return &allocator{record: r, dir: dir, listen: listen, config: map[string]any{
		"name":     "n1",
		"listen":   listen,
		"journal":  journal,
		"settings": json.RawMessage(settings),
	}}, nil
}

// runCommand returns the command `run` of the deploy file in the current folder.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", fmt.Errorf("read the deploy file: %w", err)
	}
	quoted := regexp.MustCompile(`(?m)^run = ("[^"]*")`).FindSubmatch(text)
	if quoted == nil {
		return "", errors.New("the deploy file has no run command")
	}
	command, err := strconv.Unquote(string(quoted[1]))
	if err != nil {
		return "", fmt.Errorf("read the deploy file: %w", err)
	}
	return command, nil
}

// start writes the configuration with the discovery service's events up to now, and starts the process. Each start has
// another seed.
func (a *allocator) start(known map[string]any) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	a.config["known"] = known
	a.config["seed"] = fmt.Sprintf("%016x", time.Now().UnixNano())
	file := filepath.Join(a.dir, "config.json")
	text, err := json.Marshal(a.config)
	if err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(a.dir, "allocator.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the allocator's log: %w", err)
	}
	defer log.Close()
	a.cmd = exec.Command("/bin/sh", "-c", command)
	a.cmd.Env = append(os.Environ(), "NODE_NAME=n1", "NODE_LISTEN="+a.listen, "NODE_CONFIG="+file)
	a.cmd.Stdout, a.cmd.Stderr = log, log
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := a.cmd.Start(); err != nil {
		return fmt.Errorf("start the allocator: %w", err)
	}
	a.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		a.record.add("allocator: process %d ended: %v", cmd.Process.Pid, err)
		close(ended)
	}(a.cmd, a.ended)
	a.record.add("allocator: process %d started with %q, listens on %s", a.cmd.Process.Pid, command, a.listen)
	return nil
}

// running reports whether the process runs.
func (a *allocator) running() bool {
	if a.cmd == nil {
		return false
	}
	select {
	case <-a.ended:
		return false
	default:
		return true
	}
}

// kill ends the process at once and waits for its end.
func (a *allocator) kill() {
	if !a.running() {
		return
	}
	a.record.add("allocator: SIGKILL to process %d", a.cmd.Process.Pid)
	_ = a.cmd.Process.Kill() // fails only if the process has ended
	<-a.ended
}
