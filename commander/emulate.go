package commander

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"burdocklane/descriptor"
	"burdocklane/emulator"
	"burdocklane/registrar"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const (
	emulateHeaderTimeout = 10 * time.Second
	emulateDrainTimeout  = 30 * time.Second
)

func newEmulate() *cobra.Command {
	return newCommandGroup("emulate", "Emulate the platform or a worker, for tests and benchmarks",
		newEmulatePlatform(), newEmulateWorker())
}

func newEmulatePlatform() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Emulate the platform's store and list",
		Args:  exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			server := &http.Server{Handler: emulator.NewPlatform().Handler(), ReadHeaderTimeout: emulateHeaderTimeout}
			fmt.Fprintf(cmd.OutOrStdout(), "platform at http://%s\n", listener.Addr())
			go func() {
				<-cmd.Context().Done()
				server.Close()
			}()
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:2379", "host:port to listen on")
	return cmd
}

// workerFlags holds the flags of an emulated worker.
type workerFlags struct {
	id, service, address, region, zone string
	platform, journal, behaviour       string
	slots, reportedSlots               int
	zoneDelay, regionDelay             time.Duration
}

func newEmulateWorker() *cobra.Command {
	var f workerFlags
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Emulate a worker",
		Long: `Runs a worker with slots, a queue and log-normal service times, which registers with
the emulated platform if --platform is given. The behaviour is JSON, in the form that
PUT /emulate/behaviour accepts. GET /emulate/journal returns the calls that the worker
ran.`,
		Args: exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.id, "id", "worker-1", "ID of the worker")
	flags.StringVar(&f.service, "service", "", "service that the worker belongs to")
	flags.StringVar(&f.address, "listen", "127.0.0.1:0", "host:port to listen on")
	flags.StringVar(&f.region, "region", "local", "region of the worker")
	flags.StringVar(&f.zone, "zone", "local-a", "availability zone of the worker")
	flags.StringVar(&f.platform, "platform", "", "base URL of the emulated platform to register with")
	flags.StringVar(&f.journal, "journal", "", "file to write the journal to")
	flags.StringVar(&f.behaviour, "behaviour", "", "behaviour as JSON")
	flags.IntVar(&f.slots, "slots", 6, "number of calls that the worker runs concurrently")
	flags.IntVar(&f.reportedSlots, "reported-slots", 0, "number of slots that the worker reports (default: --slots)")
	flags.DurationVar(&f.zoneDelay, "zone-delay", 0, "one-way delay between availability zones")
	flags.DurationVar(&f.regionDelay, "region-delay", 0, "one-way delay between regions")
	return cmd
}

func (f *workerFlags) options() ([]emulator.WorkerOption, error) {
	options := []emulator.WorkerOption{emulator.WithJournal(f.journal)}
	if f.behaviour != "" {
		b, err := emulator.DecodeBehaviour([]byte(f.behaviour))
		if err != nil {
			return nil, newInputError(err)
		}
		options = append(options, emulator.WithBehaviour(b))
	}
	host, _, err := net.SplitHostPort(f.address)
	if err != nil {
		return nil, newInputError(err)
	}
	return append(options, emulator.WithDelays(emulator.NewDelays(host, f.zoneDelay, f.regionDelay))), nil
}

func (f *workerFlags) run(cmd *cobra.Command) error {
	options, err := f.options()
	if err != nil {
		return err
	}
	reportedSlots := f.reportedSlots
	if reportedSlots == 0 {
		reportedSlots = f.slots
	}
	member := registrar.NewWorker(registrar.WorkerID(f.id), descriptor.ServiceName(f.service), f.address,
		registrar.NewLocality(f.region, f.zone), reportedSlots, false)
	worker, err := emulator.NewWorker(member, f.slots, options...)
	if err != nil {
		return err
	}
	if f.platform != "" {
		if err := emulator.Register(cmd.Context(), f.platform, []registrar.Worker{worker.Member()}, nil); err != nil {
			worker.Close(0) //nolint:errcheck // The error of Register is the one to report.
			return err
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "worker %s at %s\n", f.id, worker.Member().Address())
	<-cmd.Context().Done()
	return worker.Close(emulateDrainTimeout)
}
