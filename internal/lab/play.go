package lab

import (
	"time"
)

// PlayVirtual plays a day in virtual time. The result depends on the script and the options alone.
func PlayVirtual(s *Script, o Options) (*Result, error) {
	began := time.Now()
	v := NewVirtual(o.Seed)
	a := NewAuditor(s.Terms())
	d, err := NewDay(s, o, v, a, v.Now())
	if err != nil {
		return nil, err
	}
	v.Run(d.QuietAt(), func() bool { return false })
	v.Run(d.Ends(), func() bool { return d.Open() == 0 })
	v.Run(v.Now()+settleFor, func() bool { return false })
	a.Finish(v.Now())
	r := d.Result(a)
	r.Virtual = true
	r.RanSeconds = time.Since(began).Seconds()
	return r, nil
}
