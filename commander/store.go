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

// storeFlags say which store a command works on.
type storeFlags struct {
	endpoint string
	prefix   string
}

func (f *storeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.endpoint, "store", "http://127.0.0.1:2379", "base URL of the store's JSON gateway")
	cmd.Flags().StringVar(&f.prefix, "key-prefix", "/burdocklane/", "prefix of the keys in the store")
}

func (f *storeFlags) keys() assembler.Keys { return assembler.NewKeys(f.prefix) }

// open returns the store and a function that ends the work on it.
func (f *storeFlags) open(cmd *cobra.Command) (context.Context, storer.Store, func()) {
	store := storer.NewGateway(f.endpoint)
	ctx, cancel := context.WithTimeout(cmd.Context(), storeTimeout)
	return ctx, store, func() {
		cancel()
		store.Close()
	}
}

// readable puts an error of an empty store in an operator's words.
func readable(err error) error {
	var incomplete *assembler.IncompleteError
	if errors.As(err, &incomplete) && incomplete.Service() == "" {
		return errors.New("the store holds no configuration yet; see \"burdocklane config apply\"")
	}
	return err
}
