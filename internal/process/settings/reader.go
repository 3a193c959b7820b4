package settings

import "heatherport/internal/inifile"

// reader reads the sections of settings.
type reader struct{ *inifile.Reader }

func newReader(b []byte) (*reader, error) {
	r, err := inifile.NewReader(b)
	return &reader{r}, err
}

// endpoint reads the keys listen and advertise. The default of advertise is
// listen.
func (r *reader) endpoint(section string) Endpoint {
	e := Endpoint{Listen: r.AddrPort(section, "listen")}
	if v := r.Raw(section, "advertise"); v != "" {
		e.Advertise = r.ParseAddrPort(section, "advertise", v)
		r.CheckDestination(section, "advertise", e.Advertise)
		return e
	}
	if e.Listen.IsValid() && e.Listen.Addr().IsUnspecified() {
		r.Faultf(section, "advertise", "missing; needed because listen is %s", e.Listen)
		return e
	}
	e.Advertise = e.Listen
	return e
}
