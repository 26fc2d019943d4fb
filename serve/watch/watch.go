// Package watch follows the platform for one VM: the configuration object by
// watches, and the list of VMs by reads. Only VMs that control chooses watch;
// the others hear from their peers.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/codec"
)

const (
	listPeriod = time.Second
	// createAfter is how long a VM listens to its peers before it creates the
	// first configuration.
	createAfter = 1500 * time.Millisecond
)

// A Listener takes what the platform tells. Its methods do not block for long.
type Listener interface {
	ConfigurationRead(c config.Configuration)
	PlatformFailed(why string)
	VMsListed(vms []platform.ListedVM)
	// ConfigurationInForce returns the configuration in force here.
	ConfigurationInForce(ctx context.Context) config.Configuration
}

// A Watcher follows the platform. All fields must be set.
type Watcher struct {
	Store      platform.Store
	Deployment platform.Deployment
	Listener   Listener
	// InitialConfiguration is created on a platform that holds no configuration.
	InitialConfiguration config.Configuration
	// Enabled receives true when this VM shall watch and false when not.
	Enabled <-chan bool
	// ListEvery is the time between two reads of the list of VMs once the VM has
	// run for a while; 0 takes listPeriod. Until then it doubles from listPeriod on.
	ListEvery time.Duration
}

func (w *Watcher) object() string { return w.Deployment.Object(platform.ConfigurationObject) }

// Run follows the platform until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case on := <-w.Enabled:
			stop()
			stop = func() {}
			if on {
				stop = w.start(ctx)
			}
		}
	}
}

// start follows the platform until the returned function has returned.
func (w *Watcher) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{}, 2)
	go func() { w.follow(ctx); ended <- struct{}{} }()
	go func() { w.PollVMs(ctx); ended <- struct{}{} }()
	return func() {
		cancel()
		<-ended
		<-ended
	}
}

// follow watches the configuration object.
func (w *Watcher) follow(ctx context.Context) {
	var backoff platform.Backoff
	started := time.Now()
	o, err := w.Store.Get(ctx, w.object())
	for ctx.Err() == nil {
		if err == nil {
			err = w.take(ctx, o, time.Since(started))
		}
		if err != nil {
			w.Listener.PlatformFailed(err.Error())
			clock.Sleep(ctx, backoff.Next(rand.Float64()))
			o, err = w.Store.Get(ctx, w.object())
			continue
		}
		backoff.Reset()
		o, err = w.Store.Watch(ctx, w.object(), o.Version)
	}
}

func (w *Watcher) take(ctx context.Context, o platform.Object, waited time.Duration) error {
	if o.Version == 0 && w.Listener.ConfigurationInForce(ctx).Version == 0 {
		clock.Sleep(ctx, createAfter-waited)
		if w.Listener.ConfigurationInForce(ctx).Version == 0 {
			return w.create(ctx)
		}
	}
	held, err := codec.UnmarshalConfiguration(o.Value)
	if err != nil {
		return err
	}
	w.Listener.ConfigurationRead(held)
	return nil
}

func (w *Watcher) create(ctx context.Context) error {
	value, err := codec.MarshalConfiguration(&w.InitialConfiguration)
	if err != nil {
		return err
	}
	_, err = w.Store.Put(ctx, w.object(), value, 0)
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.Conflict {
		return nil
	}
	if err == nil {
		w.Listener.ConfigurationRead(w.InitialConfiguration)
	}
	return err
}

// PollVMs reads the list of VMs until the context is done.
func (w *Watcher) PollVMs(ctx context.Context) {
	var backoff platform.Backoff
	period := listPeriod
	for ctx.Err() == nil {
		vms, err := w.Store.VMs(ctx)
		if err != nil {
			clock.Sleep(ctx, backoff.Next(rand.Float64()))
			continue
		}
		backoff.Reset()
		w.Listener.VMsListed(vms)
		clock.Sleep(ctx, period)
		period = min(2*period, max(w.ListEvery, listPeriod))
	}
}

// Repair writes a newer configuration to a store that holds an older one.
func (w *Watcher) Repair(ctx context.Context, newest config.Configuration) error {
	o, err := w.Store.Get(ctx, w.object())
	if err != nil {
		return err
	}
	held, err := codec.UnmarshalConfiguration(o.Value)
	if err != nil || held.Version >= newest.Version {
		return err
	}
	value, err := codec.MarshalConfiguration(&newest)
	if err != nil {
		return err
	}
	_, err = w.Store.Put(ctx, w.object(), value, o.Version)
	return err
}
