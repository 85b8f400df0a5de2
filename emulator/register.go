package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"burdocklane/lister"
	"burdocklane/registrar"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
)

const maxRegistrationBytes = 1 << 20

// serveRegister adds the workers and instances of the request body to the list.
func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRegistrationBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	list, ignored, err := lister.Decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if ignored > 0 {
		http.Error(w, "an entry is invalid", http.StatusBadRequest)
		return
	}
	for _, worker := range list.Workers() {
		p.SetWorker(worker)
	}
	for _, instance := range list.Instances() {
		p.SetInstance(instance)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveRemoveWorker(w http.ResponseWriter, r *http.Request) {
	p.RemoveWorker(registrar.WorkerID(mux.Vars(r)["id"]))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveRemoveInstance(w http.ResponseWriter, r *http.Request) {
	p.RemoveInstance(registrar.InstanceID(mux.Vars(r)["id"]))
	w.WriteHeader(http.StatusNoContent)
}

// Register adds workers and instances to the list of the emulated platform at
// the base URL.
func Register(ctx context.Context, base string, workers []registrar.Worker, instances []registrar.Instance) error {
	data, err := lister.Encode(registrar.NewList(0, workers, instances))
	if err != nil {
		return err
	}
	return SendControlRequest(ctx, http.MethodPut, base+"/list", data)
}

// SendControlRequest sends a request to a control endpoint of an emulated platform or
// worker, and returns an error unless it succeeds.
func SendControlRequest(ctx context.Context, method, target string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "stand-in platform")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "stand-in platform")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("stand-in platform: status %d", response.StatusCode)
	}
	return nil
}

// contextUntil returns a context that is cancelled with its parent or when done
// is closed.
func contextUntil(parent context.Context, done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
