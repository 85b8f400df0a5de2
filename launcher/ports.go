package launcher

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// minPort and maxPort bound the ports assigned to processes, from minPort up
	// to but not including maxPort. They are below the system's ephemeral ports,
	// which another process could take before the started one binds its port.
	minPort         = 10_000
	maxPort         = 30_000
	maxPortAttempts = 1000
	// reservationHost is the loopback address at which a process listens on the ports that
	// it has given out, so that no other process gives them out as well.
	reservationHost = "127.255.0.1"
)

// reservations holds the sockets of the ports that this process has given out. They stay
// open until it ends: whoever got a port may bind it late, or again.
var reservations struct {
	mutex   sync.Mutex
	sockets map[int]net.Listener
}

func randomPort() int { return minPort + rand.IntN(maxPort-minPort) }

// FreePorts returns addresses on the host that are currently not in use, and that no call
// in any process gets as well until this process ends.
func FreePorts(host string, count int) ([]string, error) {
	var addresses []string
	for range maxPortAttempts {
		if len(addresses) == count {
			return addresses, nil
		}
		if port := randomPort(); Reserve(host, port, 1) {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return nil, errors.Errorf("found only %d of %d free ports on %s", len(addresses), count, host)
}

// FreePair returns the first of two adjacent ports on the host that are currently in use
// neither by TCP nor by UDP. They are reserved as those of FreePorts.
func FreePair(host string) (int, error) {
	for range maxPortAttempts {
		if port := randomPort(); Reserve(host, port, 2) {
			return port, nil
		}
	}
	return 0, errors.Errorf("found no two adjacent free ports on %s", host)
}

// Reserve reserves adjacent ports from first on, and reports whether all of them are free
// and not reserved.
func Reserve(host string, first, count int) bool {
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	sockets := make([]net.Listener, 0, count)
	for port := first; port < first+count; port++ {
		socket, err := net.Listen("tcp", net.JoinHostPort(reservationHost, strconv.Itoa(port)))
		if err == nil {
			sockets = append(sockets, socket)
		}
		if err != nil || !IsFree(host, port) {
			for _, s := range sockets {
				s.Close()
			}
			return false
		}
	}
	if reservations.sockets == nil {
		reservations.sockets = map[int]net.Listener{}
	}
	for n, socket := range sockets {
		reservations.sockets[first+n] = socket
	}
	return true
}

// IsFree reports whether a port of the host is in use neither by TCP nor by UDP.
func IsFree(host string, port int) bool {
	address := net.JoinHostPort(host, strconv.Itoa(port))
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer stream.Close()
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return datagrams.Close() == nil
}
