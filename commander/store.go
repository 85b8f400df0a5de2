package commander

import (
	"context"
	"time"

	"burdocklane/assembler"
	"burdocklane/storer"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const storeTimeout = 30 * time.Second

// storeFlags holds the flags that select the store.
type storeFlags struct {
	endpoint string
	prefix   string
}

func (f *storeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.endpoint, "store", "http://127.0.0.1:2379", "base URL of the store's JSON gateway")
	cmd.Flags().StringVar(&f.prefix, "key-prefix", "/burdocklane/", "prefix of the keys in the store")
}

func (f *storeFlags) keys() assembler.Keys { return assembler.NewKeys(f.prefix) }

// open returns a context with a timeout, the store, and a function that releases
// both.
func (f *storeFlags) open(cmd *cobra.Command) (context.Context, storer.Store, func()) {
	store := storer.NewGateway(f.endpoint)
	ctx, cancel := context.WithTimeout(cmd.Context(), storeTimeout)
	return ctx, store, func() {
		cancel()
		store.Close()
	}
}

// emptyStoreError replaces the error of an empty store by one that names the
// command to run.
func emptyStoreError(err error) error {
	var incomplete *assembler.IncompleteError
	if errors.As(err, &incomplete) && incomplete.Service() == "" {
		return errors.New("the store has no configuration yet; see \"burdocklane config apply\"")
	}
	return err
}
