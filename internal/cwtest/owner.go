package cwtest

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// PortOwners returns which of some processes has a TCP socket with a local port, by port. All
// processes on loopback have the same source address, but each connection a port of its own.
func PortOwners(pids []int) map[int]int {
	const prefix = "socket:["

	byInode := map[string]int{}

	for _, pid := range pids {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			continue
		}

		for _, f := range files {
			target, err := os.Readlink(f)
			if inode, ok := strings.CutPrefix(target, prefix); err == nil && ok {
				byInode[strings.TrimSuffix(inode, "]")] = pid
			}
		}
	}

	return portsOf(byInode)
}

// portsOf returns the owners of local ports, given those of the inodes of sockets.
func portsOf(byInode map[string]int) map[int]int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}

	defer func() { _ = file.Close() }()

	const (
		localField = 1
		inodeField = 9
		hex        = 16
		portBits   = 16
	)

	byPort := map[int]int{}

	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField {
			continue
		}

		pid, ok := byInode[fields[inodeField]]
		if !ok {
			continue
		}

		_, text, _ := strings.Cut(fields[localField], ":")
		if port, err := strconv.ParseUint(text, hex, portBits); err == nil {
			byPort[int(port)] = pid
		}
	}

	return byPort
}
