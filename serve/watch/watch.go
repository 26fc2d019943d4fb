// Package watch reads the platform for one VM: it watches the configuration and polls
// the list of VMs. Only the VMs that package control selects watch; the others receive
// the configuration from their peers. Follow watches the objects of any Source, and a Prober
// detects watches that the store no longer serves.
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
	minListInterval = time.Second
	// addedListInterval is the time from the first list of VMs until the next one if this VM
	// has just been added, and so perhaps others too.
	addedListInterval = minListInterval / 4
	// createDelay is how long a VM waits for a configuration from its peers before it
	// creates the first one.
	createDelay = 1500 * time.Millisecond
)

// A Listener receives what a Watcher reads. Its methods must not block for long.
type Listener interface {
	ConfigurationRead(c config.Configuration)
	PlatformFailed(reason string)
	VMsListed(vms []platform.ListedVM)
	// ConfigurationInForce returns the configuration in force on this VM.
	ConfigurationInForce(ctx context.Context) config.Configuration
}

// A Watcher reads the configuration and the list of VMs. All fields but
// MaxListInterval must be set.
type Watcher struct {
	Store      platform.Store
	Deployment platform.Deployment
	Listener   Listener
	// InitialConfiguration is written to a platform that holds no configuration.
	InitialConfiguration config.Configuration
	// Enabled receives whether this VM should watch the platform.
	Enabled <-chan bool
	// WasListed, if not nil, reports whether this VM was in the list of VMs before it started.
	// Otherwise others may be added at the same time, and the first list lacks them.
	WasListed func() bool
	// Refresh, if not nil, receives when the list of VMs should be read before the next read
	// is due.
	Refresh <-chan struct{}
	// MaxListInterval is the longest time between two reads of the list of VMs. The time
	// starts at minListInterval and doubles with each read up to MaxListInterval; 0 means
	// minListInterval.
	MaxListInterval time.Duration
}

func (w *Watcher) objectName() string { return w.Deployment.Object(platform.ConfigurationObject) }

// Run watches the platform while the Watcher is enabled, until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case enabled := <-w.Enabled:
			stop()
			stop = func() {}
			if enabled {
				stop = w.start(ctx)
			}
		}
	}
}

// start watches the platform until stop is called; stop returns after the goroutines
// have ended.
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
	o, err := w.Store.Get(ctx, w.objectName())
	for ctx.Err() == nil {
		if err == nil {
			err = w.handleObject(ctx, o, time.Since(started))
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.Listener.PlatformFailed(err.Error())
			clock.Sleep(ctx, backoff.Next(rand.Float64()))
			o, err = w.Store.Get(ctx, w.objectName())
			continue
		}
		backoff.Reset()
		o, err = w.Store.Watch(ctx, w.objectName(), o.Version)
	}
}

// handleObject passes a configuration to the listener. If neither the platform nor this
// VM has one, it creates the first one.
func (w *Watcher) handleObject(ctx context.Context, o platform.Object, elapsed time.Duration) error {
	if o.Version == 0 && w.Listener.ConfigurationInForce(ctx).Version == 0 {
		clock.Sleep(ctx, createDelay-elapsed)
		if w.Listener.ConfigurationInForce(ctx).Version == 0 {
			return w.create(ctx)
		}
	}
	stored, err := codec.UnmarshalConfiguration(o.Value)
	if err != nil {
		return err
	}
	w.Listener.ConfigurationRead(stored)
	return nil
}

// create writes the initial configuration to a platform that holds none.
func (w *Watcher) create(ctx context.Context) error {
	value, err := codec.MarshalConfiguration(&w.InitialConfiguration)
	if err != nil {
		return err
	}
	_, err = w.Store.Put(ctx, w.objectName(), value, 0)
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.Conflict {
		return nil
	}
	if err == nil {
		w.Listener.ConfigurationRead(w.InitialConfiguration)
	}
	return err
}

// PollVMs reads the list of VMs periodically until the context is done. A failed read is
// repeated soon only while there is no list: the old one serves for a while, and the VMs
// of a large deployment must not all call a store that fails.
func (w *Watcher) PollVMs(ctx context.Context) {
	backoff := platform.Backoff{MaxDelay: maxRetryDelay}
	interval, listed := minListInterval, false
	for ctx.Err() == nil {
		vms, err := w.Store.VMs(ctx)
		switch {
		case err == nil:
			w.Listener.VMsListed(vms)
			isFirst := !listed
			listed = true
			if isFirst && w.WasListed != nil {
				w.awaitListing(ctx, jittered(addedListInterval))
				if !w.WasListed() {
					continue
				}
			}
		case !listed:
			clock.Sleep(ctx, backoff.Next(rand.Float64()))
			continue
		default:
			clock.Sleep(ctx, jittered(max(interval*3/4, minListInterval)))
			continue
		}
		w.awaitListing(ctx, jittered(interval))
		interval = min(2*interval, max(w.MaxListInterval, minListInterval))
	}
}

// awaitListing waits until the next read of the list of VMs, for at least minListInterval
// unless interval is shorter.
func (w *Watcher) awaitListing(ctx context.Context, interval time.Duration) {
	shortest := min(interval, minListInterval)
	if !clock.Sleep(ctx, shortest) {
		return
	}
	timer := time.NewTimer(interval - shortest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.Refresh:
	case <-ctx.Done():
	}
}

// jittered shortens an interval at random by up to listJitter of it.
func jittered(interval time.Duration) time.Duration {
	return interval - time.Duration(rand.Float64()*listJitter*float64(interval))
}

// listJitter is the part of the interval between two reads of the list of VMs that is
// random, so that VMs that started together do not read it together.
const listJitter = 0.25

// Repair writes a newer configuration to a store that holds an older one.
func (w *Watcher) Repair(ctx context.Context, newest config.Configuration) error {
	o, err := w.Store.Get(ctx, w.objectName())
	if err != nil {
		return err
	}
	stored, err := codec.UnmarshalConfiguration(o.Value)
	if err != nil || stored.Version >= newest.Version {
		return err
	}
	value, err := codec.MarshalConfiguration(&newest)
	if err != nil {
		return err
	}
	_, err = w.Store.Put(ctx, w.objectName(), value, o.Version)
	return err
}
