package experiment

import (
	"context"
	"runtime"
	"sync"
	"time"

	"heatherport/internal/model"
)

// Run is a finished run of a scenario.
type Run struct {
	Way     string
	Seed    uint64
	Took    time.Duration
	Outcome *model.Outcome
}

// Job is a run to play.
type Job struct {
	Way      string
	Scenario *model.Scenario
	Seed     uint64
}

// Jobs returns a job for each seed of a way, from 1.
func Jobs(way string, s *model.Scenario, seeds int) (jobs []Job) {
	for seed := range seeds {
		jobs = append(jobs, Job{way, s, uint64(seed + 1)})
	}
	return jobs
}

// Play plays jobs, several at a time, and calls finished with each in the order in which
// they end. When ctx is done it begins no more and returns those that are finished, with
// the error of the first that failed.
func Play(ctx context.Context, jobs []Job, finished func(Run)) (runs []Run, err error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	free := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for _, job := range jobs {
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-free }()
			begun := time.Now()
			outcome, failure := model.Run(job.Scenario, job.Seed)
			mu.Lock()
			defer mu.Unlock()
			if failure != nil {
				if err == nil {
					err = failure
				}
				return
			}
			run := Run{Way: job.Way, Seed: job.Seed, Took: time.Since(begun), Outcome: outcome}
			runs = append(runs, run)
			finished(run)
		})
	}
	group.Wait()
	return runs, err
}
