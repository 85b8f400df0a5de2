package emulator

import (
	"net"
	"net/http"
	"time"
)

// Delays are the one-way times between places. On loopback a place is told by
// the address 127.REGION.ZONE.N.
type Delays struct {
	host   net.IP
	zone   time.Duration
	region time.Duration
}

// NewDelays returns the delays of calls to a host in 127.0.0.0/8: between
// zones of a region, and between regions.
func NewDelays(host string, zone, region time.Duration) Delays {
	return Delays{host: net.ParseIP(host).To4(), zone: zone, region: region}
}

func (d Delays) wait(r *http.Request) {
	if d.host == nil {
		return
	}
	source, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	if delay := d.from(net.ParseIP(source).To4()); delay > 0 {
		time.Sleep(delay)
	}
}

func (d Delays) from(source net.IP) time.Duration {
	switch {
	case source == nil || source[1] == 0:
		return 0
	case source[1] != d.host[1]:
		return d.region
	case source[2] != d.host[2]:
		return d.zone
	}
	return 0
}
