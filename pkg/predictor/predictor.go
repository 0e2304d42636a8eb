package predictor

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Load is the load of an upstream when a request is sent to it.
type Load struct {
	// Requests is the load of all entries in requests. It contains the prompt tokens that the
	// upstream has yet to read, converted to requests.
	Requests float64
	Slots    int
}

// Request describes a request.
type Request struct {
	Deployment string
	// ReadTokens is the number of prompt tokens to read, zero for a plain service.
	ReadTokens int
}

// Prediction is what is expected of an upstream.
type Prediction struct {
	// First is the time to the first event, or to the whole response of a plain service.
	// Pause is the time between two events. Both are zero if nothing similar was measured.
	First, Pause time.Duration
	// Slowness is the factor by which times are longer than on the deployment's median
	// upstream; 1 if no difference is known.
	Slowness float64
	// Age is the time since the upstream's last measurement, zero if there is none.
	Age time.Duration
}

type kind int

const (
	firstEvent kind = iota
	pause
	whole
	kinds
)

// class identifies measurements that are comparable between upstreams.
type class struct {
	kind         kind
	tokens, load int
}

const (
	// tokenUnit is the number of tokens below which prompts are of one class; above it
	// the classes are powers of two.
	tokenUnit = 64
	// loadClassesPerSlots is the number of classes in which a load up to the number of slots is divided.
	loadClassesPerSlots = 4
	maxLoadClass        = 12
	// defaultSlots is the number of slots of an upstream that reports none.
	defaultSlots = 8
)

func classOf(k kind, tokens int, load Load) class {
	slots := load.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return class{k, bits.Len(uint(max(0, tokens) / tokenUnit)), min(maxLoadClass, int(max(0, load.Requests)*loadClassesPerSlots/float64(slots)))}
}

const (
	// refreshInterval is the age up to which the factors of a deployment are reused, so that
	// most choices don't compute them.
	refreshInterval = 50 * time.Millisecond
	// baselineGain and lastingGain are the lowest weights of a sample in the moving averages
	// of a class and of an upstream.
	baselineGain = 0.02
	lastingGain  = 0.05
	// minLastingWeight is the weight of samples from which on the lasting part counts.
	minLastingWeight = 4.0
	// usualSigma is the mean deviation up to which a sample has the weight 1.
	usualSigma = 0.2
	// maxResidual limits the logarithm of a sample's deviation, so that a single stalled
	// response has little influence.
	maxResidual = 1.0
	// lastingRetention is the time constant with which the lasting part decays without
	// samples. An upstream that is avoided is tried again.
	lastingRetention = 15 * time.Second
	// recentWindow is the age up to which samples count as recent. A moment of slowness takes
	// about 600 ms, and is to be forgotten within a second.
	recentWindow = 500 * time.Millisecond
	// recentSamples is the number of samples kept for the recent part, minRecentSamples that
	// from which on there is one.
	recentSamples    = 5
	minRecentSamples = 3
	// minLastingDifference and minRecentDifference are the smallest differences that count, as
	// logarithms. Smaller ones are not worth a choice that differs from other entries'.
	minLastingDifference = 0.15
	minRecentDifference  = 0.4
	// significance is the number of standard errors from which on a difference counts, times
	// the ratio of the standard deviation of normal noise to its mean absolute deviation.
	significance = 3.5 * 1.25
	// medianError is the ratio of a median's standard error to that of a mean.
	medianError = 1.25
)

// baseline is the moving average of a class's logarithms of times.
type baseline struct {
	value float64
	count float64
}

// sample is a deviation from the expected logarithm, without the lasting part.
type sample struct {
	at       time.Time
	residual float64
	sigma    float64
}

type upstream struct {
	lasting float64
	weight  float64
	sigma   float64
	recent  [recentSamples]sample
	next    int
	at      time.Time
	// kept is the share of the lasting part that was left at the last refresh.
	kept float64
}

// group is the state of one deployment.
type group struct {
	baselines map[class]*baseline
	upstreams map[string]*upstream
	// sigmas are the mean absolute deviations by kind.
	sigmas      [kinds]float64
	refreshedAt time.Time
	// middle is the median of the lasting parts at the last refresh.
	middle float64
	// mayDiffer is set by samples since then that may be of an upstream that differs.
	mayDiffer bool
	factors   map[string]float64
}

// Predictor holds the measurements of an entry.
type Predictor struct{ groups map[string]*group }

// New returns a Predictor without measurements.
func New() *Predictor { return &Predictor{groups: map[string]*group{}} }

// RecordFirstEvent records the time from the sending of a request to the first event.
// Load is that before the request was sent.
func (p *Predictor) RecordFirstEvent(now time.Time, id string, load Load, req Request, latency time.Duration) {
	p.record(now, id, req.Deployment, classOf(firstEvent, req.ReadTokens, load), latency)
}

// RecordPause records the time between two events of a stream.
func (p *Predictor) RecordPause(now time.Time, id string, load Load, deployment string, d time.Duration) {
	p.record(now, id, deployment, classOf(pause, 0, load), d)
}

// RecordEnd records the time from the sending of a request to the end of its response, for
// responses that are not streams.
func (p *Predictor) RecordEnd(now time.Time, id string, load Load, req Request, latency time.Duration) {
	p.record(now, id, req.Deployment, classOf(whole, req.ReadTokens, load), latency)
}

// Forget forgets an upstream.
func (p *Predictor) Forget(deployment, id string) {
	g := p.groups[deployment]
	if g == nil {
		return
	}
	delete(g.upstreams, id)
	delete(g.factors, id)
	if len(g.upstreams) == 0 {
		delete(p.groups, deployment)
	}
}

func (p *Predictor) record(now time.Time, id, deployment string, c class, d time.Duration) {
	if d <= 0 {
		return
	}
	g := p.groups[deployment]
	if g == nil {
		g = &group{baselines: map[class]*baseline{}, upstreams: map[string]*upstream{}}
		p.groups[deployment] = g
	}
	u := g.upstreams[id]
	if u == nil {
		u = &upstream{}
		g.upstreams[id] = u
	}
	b := g.baselines[c]
	lasting := u.lastingAt(now)
	value := math.Log(d.Seconds())
	if b == nil {
		b = &baseline{value: value - lasting}
		g.baselines[c] = b
	}
	residual := max(-maxResidual, min(maxResidual, value-lasting-b.value))
	b.count++
	b.value += max(baselineGain, 1/b.count) * residual
	sigma := &g.sigmas[c.kind]
	if *sigma == 0 {
		*sigma = usualSigma
	}
	*sigma += baselineGain * (math.Abs(residual) - *sigma)
	if b.count < minLastingWeight {
		// The class has too few samples to say what is usual.
		return
	}
	u.add(now, lasting, residual, *sigma)
	if math.Abs(u.lasting-g.middle) >= minLastingDifference/2 || residual >= minRecentDifference {
		g.mayDiffer = true
	}
}

// add adds a sample.
func (u *upstream) add(now time.Time, lasting, residual, sigma float64) {
	weight := 1.0
	if sigma > usualSigma {
		weight = (usualSigma / sigma) * (usualSigma / sigma)
	}
	u.weight = min(1/lastingGain, u.weight*u.retention(now)+weight)
	u.lasting = lasting + weight*max(lastingGain, 1/(u.weight+minLastingWeight))*residual
	u.sigma, u.at = sigma, now
	u.recent[u.next] = sample{now, residual, sigma}
	u.next = (u.next + 1) % recentSamples
}

func (u *upstream) retention(now time.Time) float64 {
	if u.at.IsZero() {
		return 0
	}
	return math.Exp(-max(0, now.Sub(u.at)).Seconds() / lastingRetention.Seconds())
}

func (u *upstream) lastingAt(now time.Time) float64 { return u.lasting * u.retention(now) }

// knowsLasting reports whether the lasting part counts, with the retention kept.
func (u *upstream) knowsLasting() bool { return u.weight*u.kept >= minLastingWeight }

// recentPart returns the median of the recent samples if it is significant, and 0 otherwise.
func (u *upstream) recentPart(now time.Time) float64 {
	if now.Sub(u.at) >= recentWindow {
		return 0
	}
	var values [recentSamples]float64
	n, sigma := 0, 0.0
	for _, s := range u.recent {
		if !s.at.IsZero() && now.Sub(s.at) < recentWindow {
			values[n] = s.residual
			sigma = max(sigma, s.sigma)
			n++
		}
	}
	if n < minRecentSamples {
		return 0
	}
	slices.Sort(values[:n])
	median := values[(n-1)/2]
	if median < max(minRecentDifference, medianError*significance*sigma/math.Sqrt(float64(n))) {
		return 0
	}
	return median
}

// refresh computes the factors of the upstreams that differ from the median.
func (g *group) refresh(now time.Time) {
	g.refreshedAt = now
	g.factors, g.mayDiffer = nil, false
	known := make([]float64, 0, len(g.upstreams))
	for _, u := range g.upstreams {
		u.kept = u.retention(now)
		if u.knowsLasting() {
			known = append(known, u.lasting*u.kept)
		}
	}
	middle := 0.0
	if len(known) > 0 {
		slices.Sort(known)
		middle = known[len(known)/2]
	}
	g.middle = middle
	for id, u := range g.upstreams {
		difference := 0.0
		if u.knowsLasting() {
			difference = u.lasting*u.kept - middle
			if abs := math.Abs(difference); abs < minLastingDifference || abs < significance*min(u.sigma, usualSigma)/math.Sqrt(u.weight*u.kept) {
				difference = 0
			}
		}
		if difference += u.recentPart(now); difference != 0 {
			if g.factors == nil {
				g.factors = map[string]float64{}
			}
			g.factors[id] = math.Exp(difference)
		}
	}
}

// Factors returns the slowness of the upstreams of a deployment that differ from its median,
// by id; nil if none does. The map must not be changed, and is valid until the next call.
func (p *Predictor) Factors(now time.Time, deployment string) map[string]float64 {
	g := p.groups[deployment]
	if g == nil || g.factors == nil && !g.mayDiffer {
		return nil
	}
	if age := now.Sub(g.refreshedAt); age >= refreshInterval || age < 0 {
		g.refresh(now)
	}
	return g.factors
}

// Predict returns what is expected of an upstream for a request. Load is that without the
// request.
func (p *Predictor) Predict(now time.Time, id string, load Load, req Request) Prediction {
	prediction := Prediction{Slowness: 1}
	g := p.groups[req.Deployment]
	if g == nil {
		return prediction
	}
	if factor, ok := p.Factors(now, req.Deployment)[id]; ok {
		prediction.Slowness = factor
	}
	if u := g.upstreams[id]; u != nil && !u.at.IsZero() {
		prediction.Age = now.Sub(u.at)
	}
	expected := func(k kind, tokens int) time.Duration {
		b := g.baselines[classOf(k, tokens, load)]
		if b == nil {
			return 0
		}
		return time.Duration(math.Exp(b.value) * prediction.Slowness * float64(time.Second))
	}
	if prediction.First = expected(firstEvent, req.ReadTokens); prediction.First == 0 {
		prediction.First = expected(whole, req.ReadTokens)
	}
	prediction.Pause = expected(pause, 0)
	return prediction
}
