package soak

import (
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// callerName returns the name of the machine whose process opened a connection, or "" if the
// process has ended. All machines call one address of a worker or of a machine, so only the
// kernel can tell whose call it is.
func (n *network) callerName(c net.Conn) string {
	n.mu.Lock()
	machines := n.machines
	n.mu.Unlock()
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	for _, m := range machines {
		if inode != 0 && m.hasSocket(inode) {
			return m.name
		}
	}
	return ""
}

// Messages to and from the kernel about a socket: struct inet_diag_req_v2 and struct
// inet_diag_msg, each after a struct nlmsghdr.
const (
	queryLen    = 72
	queryStates = 20
	queryID     = 24
	queryCookie = 64
	answerInode = 84
	answerLen   = 88
)

// socketInode returns the inode of the IPv4 socket at one end of a connection on this
// computer, or 0 if there is none. It asks for this one socket, as the table of all
// in /proc/net takes a processor when others open many.
func socketInode(local, remote *net.TCPAddr) uint32 {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Sendto(fd, socketQuery(local, remote), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0
	}
	answer := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil || n < answerLen || binary.NativeEndian.Uint16(answer[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return 0
	}
	return binary.NativeEndian.Uint32(answer[answerInode:])
}

func socketQuery(local, remote *net.TCPAddr) []byte {
	q := make([]byte, queryLen)
	binary.NativeEndian.PutUint32(q, queryLen)
	binary.NativeEndian.PutUint16(q[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(q[6:], unix.NLM_F_REQUEST)
	q[unix.SizeofNlMsghdr], q[unix.SizeofNlMsghdr+1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[queryStates:], math.MaxUint32)
	id := binary.BigEndian.AppendUint16(nil, uint16(local.Port))
	id = binary.BigEndian.AppendUint16(id, uint16(remote.Port))
	id = append(append(id, local.IP.To4()...), make([]byte, net.IPv6len-net.IPv4len)...)
	id = append(id, remote.IP.To4()...)
	copy(q[queryID:], id)
	binary.NativeEndian.PutUint64(q[queryCookie:], math.MaxUint64) // any
	return q
}

// hasSocket reports whether the machine's process has the socket with an inode open.
func (m *machine) hasSocket(inode uint32) bool {
	pid := m.pid()
	if pid == 0 {
		return false
	}
	name := fmt.Sprintf("socket:[%d]", inode)
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, f := range files {
		if target, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && target == name {
			return true
		}
	}
	return false
}
