//! What is learned of images.

use peridotfold_core::flow::press::{Base, Press};

/// Guards against a heavy image that is placed like a light one: on the grown guide six images in
/// ten press several times as much as the others, and nothing but the tails tells which.
#[test]
fn heavy_images_are_told_from_light_ones_by_the_tails_of_mixed_workers() {
    let (heavy, light) = (400.0, 40.0);
    let mut press = Press::default();
    let mut bases = vec![Base::default(); 20];
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..30 {
        for base in &mut bases {
            let shares: Vec<(u32, f64)> =
                (0..3).map(|_| (random.u32(0..10), random.f64() * 0.3)).collect();
            let own = 35.0 + 20.0 * random.f64();
            let weight = |image: u32| if image < 6 { heavy } else { light };
            let tail = own + shares.iter().map(|(i, s)| weight(*i) * s).sum::<f64>();
            press.learn(base, &shares, tail as u32);
        }
    }
    let alone = |image: u32| press.expected(Base::default(), [(image, 0.2)]);
    let lightest_heavy = (0..6).map(alone).fold(f64::MAX, f64::min);
    let heaviest_light = (6..10).map(alone).fold(0.0, f64::max);
    assert!(lightest_heavy > heaviest_light + 30.0, "{lightest_heavy} {heaviest_light}");
}
