//! The cases of the second review: `review-2 CASE FOLDER`. FOLDER is the folder of the case, which gets `record.txt`.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#[path = "../7/case.rs"]
mod ceiling;
#[path = "../8/case.rs"]
mod chunked;
#[allow(dead_code)]
mod common;
#[path = "../6/case.rs"]
mod crowd;
#[path = "../10/case.rs"]
mod drain;
#[path = "../9/case.rs"]
mod spoilt;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { common::cannot_run("usage: review-2 CASE FOLDER") };
    let setup = common::Case::new(folder);
    match case.as_str() {
        "6" => crowd::run(&setup),
        "7" => ceiling::run(&setup),
        "8" => chunked::run(&setup),
        "9" => spoilt::run(&setup),
        "10" => drain::run(&setup),
        _ => common::cannot_run("no such case"),
    }
}
