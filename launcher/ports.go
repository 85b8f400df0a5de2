package launcher

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/go-faster/errors"
)

const (
	// minPort and maxPort bound the ports assigned to processes, from minPort up
	// to but not including maxPort. They are below the system's ephemeral ports,
	// which another process could take before the started one binds its port.
	minPort         = 10_000
	maxPort         = 30_000
	maxPortAttempts = 1000
)

func randomPort() int { return minPort + rand.IntN(maxPort-minPort) }

// FreePorts returns addresses on the host that are currently not in use.
func FreePorts(host string, count int) ([]string, error) {
	var addresses []string
	for range maxPortAttempts {
		if len(addresses) == count {
			return addresses, nil
		}
		socket, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(randomPort())))
		if err != nil {
			continue
		}
		defer socket.Close()
		addresses = append(addresses, socket.Addr().String())
	}
	return nil, errors.Errorf("found only %d of %d free ports on %s", len(addresses), count, host)
}

// FreePair returns the first of two adjacent ports on the host that are currently in use
// neither by TCP nor by UDP.
func FreePair(host string) (int, error) {
	for range maxPortAttempts {
		if port := randomPort(); IsFree(host, port) && IsFree(host, port+1) {
			return port, nil
		}
	}
	return 0, errors.Errorf("found no two adjacent free ports on %s", host)
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
