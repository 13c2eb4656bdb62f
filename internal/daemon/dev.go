package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkwood/skylarkwood/internal/coordination/config"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/settings"
	"github.com/skylarkwood/skylarkwood/internal/standin"
)

// Dev mode has one customer, one model in three layer ranges and one plain service.
const (
	DevCustomer     = "skola-manus"
	DevService      = "planer-rundi"
	DevPlainService = "dispecer"
	DevLayers       = 12
	devStages       = 3
	devCapacity     = 32
	devStepTime     = 50 * time.Microsecond
	devReadyTimeout = 20 * time.Second
)

// Dev is a small system in one process, on loopback addresses.
type Dev struct {
	// URL is the base URL of the entry for callers and operators.
	URL string
	// Engines are the simulated engines, in layer order.
	Engines []*standin.Engine

	kv        *standin.KV
	instances *standin.Instances
	members   []model.Instance
	processes []func(context.Context) error
	closers   []func()
}

// NewDev returns a system that serves once Run is called. If httpAddr is empty, the entry
// listens on a free port.
func NewDev(httpAddr string) (*Dev, error) {
	d := &Dev{kv: standin.NewKV(), instances: standin.NewInstances(0)}
	for i := 0; i < devStages; i++ {
		if err := d.addEngine(i); err != nil {
			return nil, err
		}
	}
	if err := d.addPlain(); err != nil {
		return nil, err
	}
	if err := d.addEntry(httpAddr); err != nil {
		return nil, err
	}
	d.instances.Set(d.members)
	return d, d.storeTemplate()
}

// storeTemplate stores the template of the customer.
func (d *Dev) storeTemplate() error {
	store := config.NewStore(d.kv, time.Now, NewID, func(int64) {})
	_, err := store.Set(context.Background(), config.Template{
		Customer: DevCustomer,
		Rules: []config.Rule{
			{Service: DevService, Priority: 5, DefaultTimeout: 30 * time.Second},
			{Service: DevPlainService, Priority: 7, NotRepeatable: true, DefaultTimeout: 10 * time.Second},
		},
		Parameters: map[string]string{"language": "hr"},
	}, 0, "dev")
	return errors.Wrap(err, "store dev template")
}

func (d *Dev) baseSettings(name string, role model.Role, httpAddr string) (settings.Settings, error) {
	s := settings.Default()
	s.Role = role
	s.Instance = name
	s.Region = "juzna-regija"
	s.FailureDomain = "hala-luka"
	s.Entry.DrainDelay = 0
	var err error
	if s.Listen.Link, err = FreeAddress(); err != nil {
		return s, err
	}
	if s.Listen.HTTP = httpAddr; httpAddr == "" {
		if s.Listen.HTTP, err = FreeAddress(); err != nil {
			return s, err
		}
	}
	d.members = append(d.members, instanceOf(s))
	return s, nil
}

func (d *Dev) addEngine(i int) error {
	layersPerEngine := DevLayers / devStages
	e := standin.NewEngine(standin.EngineConfig{
		Range:    model.LayerRange{From: i * layersPerEngine, To: (i + 1) * layersPerEngine},
		Layers:   DevLayers,
		StepTime: devStepTime,
		MaxBatch: 64,
		Capacity: devCapacity,
	})
	d.Engines = append(d.Engines, e)
	d.closers = append(d.closers, e.Close)
	s, err := d.baseSettings(fmt.Sprintf("sidecar-%d", i+1), model.RoleSidecar, "")
	if err != nil {
		return err
	}
	s.Sidecar.Service = DevService
	s.Sidecar.Layers = DevLayers
	s.Sidecar.Capacity = devCapacity
	s.Sidecar.Backend = fmt.Sprintf("embedded:%d", i)
	d.processes = append(d.processes, NewSidecar(s, Dependencies{KV: d.kv, Instances: d.instances, Engine: e}).Run)
	return nil
}

func (d *Dev) addPlain() error {
	s, err := d.baseSettings("sidecar-plain", model.RoleSidecar, "")
	if err != nil {
		return err
	}
	s.Sidecar.Service = DevPlainService
	s.Sidecar.Kind = model.KindPlain
	plain := standin.NewPlain(time.Millisecond)
	d.processes = append(d.processes, NewSidecar(s, Dependencies{KV: d.kv, Instances: d.instances, Plain: plain}).Run)
	return nil
}

func (d *Dev) addEntry(httpAddr string) error {
	s, err := d.baseSettings("entry-1", model.RoleEntry, httpAddr)
	if err != nil {
		return err
	}
	d.URL = "http://" + s.Listen.HTTP
	d.processes = append(d.processes, NewEntry(s, Dependencies{KV: d.kv, Instances: d.instances}).Run)
	return nil
}

// Run serves until ctx ends.
func (d *Dev) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range d.processes {
		g.Go(func() error { return run(ctx) })
	}
	err := g.Wait()
	for _, c := range d.closers {
		c()
	}
	return err
}

// WaitReady waits until the entry is ready and reaches every instance. reachableInstances
// returns how many it reaches.
func (d *Dev) WaitReady(ctx context.Context, reachableInstances func(context.Context) int) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	for {
		if isReady(ctx, d.URL) && reachableInstances(ctx) == len(d.members) {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.New("instances did not connect in time")
		}
	}
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	rep.Body.Close()
	return rep.StatusCode == http.StatusOK
}

// maxAddressAttempts bounds the search for a free address.
const maxAddressAttempts = 100

// FreeAddress returns a loopback address that nothing listens on. It uses a host other than
// 127.0.0.1, where outgoing connections could take the port before it is listened on.
func FreeAddress() (string, error) {
	const firstPort, ports = 10_000, 20_000
	for attempt := 0; attempt < maxAddressAttempts; attempt++ {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		addr := fmt.Sprintf("%s:%d", host, firstPort+rand.IntN(ports))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", errors.New("no free address on loopback")
}
