package main

import (
	"fmt"
	"time"
)

// checkTwice returns the breaches of TWICE: two runs of one work unit at the same
// time, or a start after a run has ended done, if that end is taken note of and the
// lease has not lapsed between the two. The steps of all cases are not speculative.
func checkTwice(rec *record, runs []run, now time.Time) []string {
	byTask := make(map[string][]run)
	for _, r := range runs {
		if r.end.IsZero() {
			r.end = now
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	var breaches []string
	for _, list := range byTask {
		for i := range list {
			for j := range list {
				a, b := &list[i], &list[j]
				if i == j || b.start.Before(a.start) || b.start.Equal(a.start) && i > j {
					continue
				}
				if b.start.Before(a.end) {
					breaches = append(breaches, fmt.Sprintf("TWICE at the same time: %v from %.3f to %.3f, %v from %.3f to %.3f",
						a, rec.at(a.start), rec.at(a.end), b, rec.at(b.start), rec.at(b.end)))
				}
				if a.how == "done" && !a.noted.IsZero() && !a.lapsed && b.start.After(a.end) {
					breaches = append(breaches, fmt.Sprintf("TWICE after done: %v ended done at %.3f, taken note of at %.3f; %v started at %.3f",
						a, rec.at(a.end), rec.at(a.noted), b, rec.at(b.start)))
				}
			}
		}
	}
	return breaches
}
