package emulator

import (
	"encoding/json"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ResponseBody returns the response body of an emulated worker for a request ID:
// pseudo-random bytes seeded by the ID, so that a response that belongs to
// another request is detected.
func ResponseBody(id string, size int) io.Reader {
	seed := uint64(crc32.ChecksumIEEE([]byte(id)))
	var key [32]byte
	for i := range 4 {
		key[i] = byte(seed >> (8 * i))
	}
	return io.LimitReader(rand.NewChaCha8(key), int64(size))
}

type behaviourMessage struct {
	Mean       string  `json:"mean"`
	Sigma      float64 `json:"sigma"`
	SlowFactor float64 `json:"slow-factor"`
	SlowShare  float64 `json:"slow-share"`
	SlowSpell  string  `json:"slow-spell"`
	Cold       string  `json:"cold"`
	FailShare  float64 `json:"fail-share"`
	CutShare   float64 `json:"cut-share"`
	Queue      int     `json:"queue"`
	Shed       bool    `json:"shed"`
	Draining   bool    `json:"draining"`
}

func (m behaviourMessage) toBehaviour() Behaviour {
	return Behaviour{
		mean: parseDurationOr(m.Mean, 10*time.Millisecond), sigma: m.Sigma,
		slowFactor: max(m.SlowFactor, 1), slowFraction: m.SlowShare, slowPeriod: parseDurationOr(m.SlowSpell, 0),
		coldPeriod: parseDurationOr(m.Cold, 0), failureRate: m.FailShare, abortRate: m.CutShare,
		queue: m.Queue, shed: m.Shed, draining: m.Draining,
	}
}

func parseDurationOr(text string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fallback
	}
	return d
}

// EncodeBehaviour encodes b as JSON, the form that PUT /emulate/behaviour and
// the --behaviour flag accept.
func EncodeBehaviour(b Behaviour) ([]byte, error) {
	data, err := json.Marshal(behaviourMessage{
		Mean: b.mean.String(), Sigma: b.sigma,
		SlowFactor: b.slowFactor, SlowShare: b.slowFraction, SlowSpell: b.slowPeriod.String(),
		Cold: b.coldPeriod.String(), FailShare: b.failureRate, CutShare: b.abortRate,
		Queue: b.queue, Shed: b.shed, Draining: b.draining,
	})
	if err != nil {
		return data, errors.Wrap(err, "encode behaviour")
	}
	return data, nil
}

// DecodeBehaviour decodes the JSON that EncodeBehaviour writes.
func DecodeBehaviour(data []byte) (Behaviour, error) {
	var m behaviourMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return Behaviour{}, errors.Wrap(err, "decode behaviour")
	}
	return m.toBehaviour(), nil
}

func (w *Worker) serveBehaviour(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, 1<<16))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := DecodeBehaviour(data)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.SetBehaviour(b)
	rw.WriteHeader(http.StatusNoContent)
}
