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

// The small system of dev mode: one customer, one model in three layer ranges,
// one plain service.
const (
	DevCustomer = "skola-manus"
	DevService  = "planer-rundi"
	DevPlainService    = "dispecer"
	DevLayers   = 12
	devStages   = 3
	devCapacity = 32
	devStep     = 50 * time.Microsecond
	devReady    = 20 * time.Second
)

// Dev is a whole system in one process, on loopback.
type Dev struct {
	// URL is where the entry answers callers and operators.
	URL string
	// Engines are the stand-ins, in layer order.
	Engines []*standin.Engine

	kv        *standin.KV
	instances *standin.Instances
	list      []model.Instance
	runs      []func(context.Context) error
	closers   []func()
}

// NewDev lays out the system; httpAddr may be empty for any free port.
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
	d.instances.Set(d.list)
	return d, d.seed()
}

// seed stores the template of the one customer.
func (d *Dev) seed() error {
	store := config.NewStore(d.kv, time.Now, NewID, func(int64) {})
	_, err := store.Set(context.Background(), config.Template{
		Customer: DevCustomer,
		Rules: []config.Rule{
			{Service: DevService, Priority: 5, DefaultTimeout: 30 * time.Second},
			{Service: DevPlainService, Priority: 7, NotRepeatable: true, DefaultTimeout: 10 * time.Second},
		},
		Parameters: map[string]string{"language": "hr"},
	}, 0, "dev")
	return errors.Wrap(err, "dev template")
}

func (d *Dev) base(name string, role model.Role, httpAddr string) (settings.Settings, error) {
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
	d.list = append(d.list, instanceOf(s))
	return s, nil
}

func (d *Dev) addEngine(i int) error {
	per := DevLayers / devStages
	e := standin.NewEngine(standin.EngineConfig{
		Range:    model.LayerRange{From: i * per, To: (i + 1) * per},
		Layers:   DevLayers,
		StepTime: devStep,
		Batch:    64,
		Capacity: devCapacity,
	})
	d.Engines = append(d.Engines, e)
	d.closers = append(d.closers, e.Close)
	s, err := d.base(fmt.Sprintf("sidecar-%d", i+1), model.RoleSidecar, "")
	if err != nil {
		return err
	}
	s.Sidecar.Service = DevService
	s.Sidecar.Layers = DevLayers
	s.Sidecar.Capacity = devCapacity
	s.Sidecar.Backend = fmt.Sprintf("embedded:%d", i)
	d.runs = append(d.runs, NewSidecar(s, Dependencies{KV: d.kv, Instances: d.instances, Engine: e}).Run)
	return nil
}

func (d *Dev) addPlain() error {
	s, err := d.base("sidecar-plain", model.RoleSidecar, "")
	if err != nil {
		return err
	}
	s.Sidecar.Service = DevPlainService
	s.Sidecar.Kind = model.KindPlain
	plain := standin.NewPlain(time.Millisecond)
	d.runs = append(d.runs, NewSidecar(s, Dependencies{KV: d.kv, Instances: d.instances, Plain: plain}).Run)
	return nil
}

func (d *Dev) addEntry(httpAddr string) error {
	s, err := d.base("entry-1", model.RoleEntry, httpAddr)
	if err != nil {
		return err
	}
	d.URL = "http://" + s.Listen.HTTP
	d.runs = append(d.runs, NewEntry(s, Dependencies{KV: d.kv, Instances: d.instances}).Run)
	return nil
}

// Run runs the system until ctx ends.
func (d *Dev) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range d.runs {
		g.Go(func() error { return run(ctx) })
	}
	err := g.Wait()
	for _, c := range d.closers {
		c()
	}
	return err
}

// WaitReady waits until every part was met by the entry.
func (d *Dev) WaitReady(ctx context.Context, met func(context.Context) int) error {
	ctx, cancel := context.WithTimeout(ctx, devReady)
	defer cancel()
	for {
		if isReady(ctx, d.URL) && met(ctx) == len(d.list) {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.New("the parts did not find each other in time")
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

// addressTries bounds the search for a free address.
const addressTries = 100

// FreeAddress finds a loopback address that nothing listens on. It takes a host
// number of its own: connections take their source ports on 127.0.0.1, and one
// of those would now and then be taken before it is listened on.
func FreeAddress() (string, error) {
	const firstPort, ports = 10_000, 20_000
	for try := 0; try < addressTries; try++ {
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
