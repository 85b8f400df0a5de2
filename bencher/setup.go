package bencher

import (
	"context"
	"os"
	"time"

	"burdocklane/applier"
	"burdocklane/assembler"
	"burdocklane/descriptor"
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
	return applyDeployment(ctx, platform, deployment)
}

// applyDeployment puts a configuration into the store of a stand-in.
func applyDeployment(ctx context.Context, platform string, deployment descriptor.Deployment) error {
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
