//! The way to the backends, without a gateway round it.

use badgerglade::backend::{parse_billed, parse_load, shorter};
use caperwind::LoadField;
use std::time::Duration;

/// Guards against unsafe requests lost one after another to connections that are let go, unseen, a tenth of a
/// second after their last answer; one that broke in full use tells nothing of that.
#[test]
fn connections_let_go_after_a_tenth_of_a_second_are_not_kept_for_longer() {
    let told = Duration::from_secs(9);
    assert!(shorter(told, Duration::from_millis(120)) < Duration::from_millis(100));
    assert!(shorter(told, Duration::from_millis(400)) < Duration::from_millis(400));
    assert_eq!(shorter(told, Duration::from_millis(2)), told);
}

/// Guards against a quota emptied or filled by units that no request can take.
#[test]
fn billed_units_that_can_not_be_read_are_not_told() {
    assert_eq!(["3", " 2.5 ", "0"].map(|t| parse_billed(t, 6.0)), [Some(3.0), Some(2.5), Some(0.0)]);
    let odd = ["", "x", "-1", "nan", "inf", "6.1", "1e300", "3,4"];
    assert!(odd.iter().all(|t| parse_billed(t, 6.0).is_none()));
}

/// Guards against figures that can't be read being taken for load: neither they nor what is missing
/// may reach the module as a number.
#[test]
fn a_load_figure_that_can_not_be_read_is_not_told() {
    let fields = [LoadField::ServiceMs, LoadField::ServedPerS, LoadField::Waiting];
    let told = |text| {
        let load = parse_load(&fields, text);
        load.values.map(|v| v.is_finite().then_some(v))[..usize::from(load.len)].to_vec()
    };
    assert_eq!(told("TEXT avg_ms=7.5, rps=2, waiting=0"), [Some(7.5), Some(2.0), Some(0.0)]);
    assert_eq!(told("TEXT avg_ms=nan, rps=-1, waiting=3"), [None, None, Some(3.0)]);
    assert_eq!(told("TEXT avg_ms=inf, rps=1e30, waiting=x"), []);
    assert_eq!(told("\u{7f}=,=,waiting"), []);
}
