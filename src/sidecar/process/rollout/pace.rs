//! Pace of a target relative to the old ones, so that a slow VM is not taken for a slow version. No I/O.
//!
//! A slow VM delays all responses, its fastest ones too. The lower quartile of its times relative to the median of each
//! route therefore tells how slow it is, unless nearly all responses of a bad version are slow: then it is slower than a
//! VM can be.

/// Number of relative time classes; the middle one stands for the median.
const CLASSES: usize = 256;
/// Samples of a target from which on its pace is known.
const MIN_SAMPLES: f64 = 30.0;
/// Part of the slowness of a target that counts as that of its VM, by the slowness, both in time classes. VMs are up to
/// twice as slow as the mean; a target that is clearly slower has a slow version. The quartile of few samples is off by
/// a class, so the allowance falls gradually.
const VM_CLASSES: [u8; 9] = [0, 1, 2, 3, 4, 4, 3, 1, 0];

/// Service times relative to the median of their route.
#[derive(Debug, Clone)]
pub(super) struct RelativeTimes([f64; CLASSES]);

impl Default for RelativeTimes {
    fn default() -> Self {
        Self([0.0; CLASSES])
    }
}

impl RelativeTimes {
    /// Adds times of a class on a route with this median.
    pub(super) fn add(&mut self, class: u8, median: u8, count: u32) {
        let relative = i16::from(class) - i16::from(median) + CLASSES as i16 / 2;
        let index = relative.clamp(0, CLASSES as i16 - 1) as usize;
        self.0[index] += f64::from(count);
    }

    fn lower_quartile(&self) -> Option<i16> {
        let total: f64 = self.0.iter().sum();
        let mut sum = 0.0;
        let found = self.0.iter().position(|n| {
            sum += n;
            sum >= total / 4.0
        });
        found.filter(|_| total >= MIN_SAMPLES).map(|i| i as i16)
    }

    /// Time classes by which a target is slower because of its VM; `None` if that is not known yet.
    pub(super) fn slower_by(&self, reference: &Self) -> Option<u8> {
        let shift = self.lower_quartile()? - reference.lower_quartile()?;
        let index = shift.clamp(0, VM_CLASSES.len() as i16 - 1) as usize;
        Some(VM_CLASSES[index])
    }
}
