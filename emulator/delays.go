package emulator

import (
	"net"
	"net/http"
	"time"
)

// Delays holds the emulated one-way network delays between localities. On
// loopback, the address 127.REGION.ZONE.N encodes the region and the zone.
type Delays struct {
	host           net.IP
	betweenZones   time.Duration
	betweenRegions time.Duration
}

// NewDelays returns the delays of calls to a host in 127.0.0.0/8: between the
// zones of a region, and between regions.
func NewDelays(host string, betweenZones, betweenRegions time.Duration) Delays {
	return Delays{host: net.ParseIP(host).To4(), betweenZones: betweenZones, betweenRegions: betweenRegions}
}

func (d Delays) wait(r *http.Request) {
	if d.host == nil {
		return
	}
	source, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	if delay := d.delayFrom(net.ParseIP(source).To4()); delay > 0 {
		time.Sleep(delay)
	}
}

func (d Delays) delayFrom(source net.IP) time.Duration {
	switch {
	case source == nil || source[1] == 0:
		return 0
	case source[1] != d.host[1]:
		return d.betweenRegions
	case source[2] != d.host[2]:
		return d.betweenZones
	}
	return 0
}
