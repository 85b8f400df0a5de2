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

func readDeployment(file string) (descriptor.Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return descriptor.Deployment{}, errors.Wrap(err, "read configuration")
	}
	return parser.ParseDeployment(file, data)
}

// applyExample applies a configuration file to the store of an emulated platform.
func applyExample(ctx context.Context, platform, file string) error {
	deployment, err := readDeployment(file)
	if err != nil {
		return err
	}
	return applyDeployment(ctx, platform, deployment)
}

// applyDeployment applies a configuration to the store of an emulated platform.
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
