package bencher

import (
	"context"
	"os"
	"time"

	"burdocklane/applier"
	"burdocklane/assembler"
	"burdocklane/parser"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

const (
	startTimeout = 30 * time.Second
	keyPrefix    = "/burdocklane/"
)

// applyExample puts a configuration file into the store of a stand-in.
func applyExample(ctx context.Context, platform, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	deployment, err := parser.Deployment(file, data)
	if err != nil {
		return err
	}
	store := storer.NewGateway(platform)
	defer store.Close()
	result, err := applier.New(store, assembler.NewKeys(keyPrefix), applier.WithAuthor("bench")).Apply(ctx, deployment)
	if err != nil {
		return err
	}
	if _, ok := result.(applier.Accepted); !ok {
		return errors.New("the configuration was not accepted")
	}
	return nil
}
