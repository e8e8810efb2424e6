// SPDX-License-Identifier: Apache-2.0
//! `stackpier trace` on the logs of several daemons.

use std::{
    fs::{self, File},
    io::{BufWriter, Write},
    path::{Path, PathBuf},
    process::{Command, Output, Stdio},
};

use anyhow::{Context, Result};
use rstest::rstest;
use serde_json::{Value, json};

const ID: &str = "00000000000000a1";
const OTHER: &str = "00000000000000a2";

/// line returns a log line of a daemon; `second` is the seconds part of its time.
fn line(second: &str, daemon: &str, message: &str, subject: &str) -> String {
    json!({
        "msg": message, "level": "INFO", "ts": format!("2026-05-13T07:00:{second}"),
        "vm": daemon, "at_ms": 7, "subject": subject,
    })
    .to_string()
}

/// logs writes one log file for each daemon to the test's folder.
fn logs(test: &str, daemons: &[&[String]]) -> Result<Vec<PathBuf>> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder)?;
    let write = |(number, lines): (usize, &&[String])| {
        let path = folder.join(format!("{number}.log"));
        fs::write(&path, lines.join("\n") + "\n")?;
        Ok(path)
    };
    daemons.iter().enumerate().map(write).collect()
}

fn trace(words: &[&str], files: &[PathBuf]) -> Result<Output> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stackpier"));
    let output = command.arg("trace").args(words).args(files).output()?;
    Ok(output)
}

fn shown(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().map(str::to_owned).collect()
}

#[test]
fn lines_of_one_job_are_sorted_by_time() -> Result<()> {
    let files = logs(
        "order",
        &[
            &[
                line("05.2Z", "vm-0", "job: job completed", ID),
                // Daemons write a varying number of decimal digits of seconds.
                line(
                    "01Z",
                    "vm-0",
                    "request: 200 after 3 ms ",
                    &format!("POST /queue/{ID}"),
                ),
                line("03Z", "vm-0", "job: job completed", OTHER),
            ],
            &[
                line(
                    "01.000000001Z",
                    "vm-1",
                    "place: run 1 on w",
                    &format!("{ID}.0.0.0"),
                ),
                // 08:30 in a time zone that is 01:30 ahead of UTC.
                json!({"msg": "end: failed run 1", "ts": "2026-05-13T08:30:02+01:30",
                    "vm": "vm-1", "subject": format!("{ID}.0.0.0")})
                .to_string(),
                line("04Z", "vm-1", "place: run 1 on w", &format!("{ID}0.0.0.0")),
                line(
                    "04Z",
                    "vm-1",
                    "request: 200",
                    &format!("GET /queue/{ID}/more"),
                ),
            ],
        ],
    )?;
    let output = trace(&[ID], &files)?;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(
        shown(&output),
        [
            format!("2026-05-13T07:00:01.000Z vm-0 request: 200 after 3 ms  [POST /queue/{ID}]"),
            format!("2026-05-13T07:00:01.000Z vm-1 place: run 1 on w [{ID}.0.0.0]"),
            format!("2026-05-13T07:00:02.000Z vm-1 end: failed run 1 [{ID}.0.0.0]"),
            format!("2026-05-13T07:00:05.200Z vm-0 job: job completed [{ID}]"),
        ]
    );
    Ok(())
}

#[test]
fn request_with_the_id_in_capitals_is_found() -> Result<()> {
    let upper = format!("GET /queue/{}", ID.to_uppercase());
    let files = logs(
        "capitals",
        &[&[line("01Z", "vm-0", "request: 200", &upper)]],
    )?;
    for id in [ID.to_owned(), ID.to_uppercase()] {
        let output = trace(&[&id], &files)?;
        assert_eq!(shown(&output).len(), 1, "{output:?}");
    }
    Ok(())
}

#[rstest]
#[case::without_owners(&[], 2)]
#[case::with_owners(&["--owners"], 4)]
fn owner_lines_are_shown_between_the_lines_of_the_job(
    #[case] words: &[&str],
    #[case] count: usize,
) -> Result<()> {
    let files = logs(
        &format!("owners-{count}"),
        &[
            &[
                line("01Z", "vm-0", "owner: owns the cell", ""),
                line("02Z", "vm-0", "place: run 1 on w", &format!("{ID}.0.0.0")),
                line("03Z", "vm-0", "owner: gave up the cell", ""),
                line("03Z", "vm-0", "summary: running 7", ""),
                line("09Z", "vm-0", "member: cell owned by vm-1", ""),
            ],
            &[
                line("04Z", "vm-1", "member: taking over", ""),
                line("05Z", "vm-1", "job: job completed", ID),
            ],
        ],
    )?;
    let output = trace(&[words, &[ID]].concat(), &files)?;
    let shown = shown(&output);
    assert_eq!(shown.len(), count, "{shown:?}");
    assert!(shown[0].contains("place: "));
    assert!(shown[count - 1].contains("job: "));
    Ok(())
}

#[test]
fn lines_that_are_not_log_lines_are_counted() -> Result<()> {
    let files = logs(
        "others",
        &[&[
            "thread 'main' panicked at src/main.rs".to_owned(),
            "{\"msg\":\"cut in the mid".to_owned(),
            "{\"other\":\"object\"}".to_owned(),
            line("no time", "vm-0", "job: job completed", ID),
            line("01Z", "vm-0", "job: job completed", ID),
            line("02Z", "vm-0", "job: job completed", OTHER),
        ]],
    )?;
    let output = trace(&[ID], &files)?;
    assert_eq!(shown(&output).len(), 1, "{output:?}");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        stderr.contains("1 of 6 lines shown, 4 were no log lines"),
        "{stderr}"
    );
    Ok(())
}

#[test]
fn prefixes_of_log_collectors_are_skipped() -> Result<()> {
    let wanted = line("01Z", "vm-0", "job: {job} completed", ID);
    let files = logs(
        "prefix",
        &[&[
            format!("  -9.9994 edge-1 {wanted}"),
            format!("2026-05-13T07:00:02Z {{edge-1}} {wanted}\r"),
        ]],
    )?;
    let output = trace(&[ID], &files)?;
    assert_eq!(shown(&output).len(), 2, "{output:?}");
    assert!(shown(&output)[1].contains("vm-0 job: {job} completed"));
    Ok(())
}

#[test]
fn standard_input_is_read_without_files() -> Result<()> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stackpier"))
        .args(["trace", ID, "--json"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    let mut input = child.stdin.take().context("the child has no input")?;
    writeln!(input, "{}", line("01Z", "vm-0", "job: job completed", ID))?;
    drop(input);
    let output = child.wait_with_output()?;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let entry: Value = serde_json::from_slice(&output.stdout)?;
    assert_eq!(
        entry,
        json!({"time": "2026-05-13T07:00:01.000Z", "daemon": "vm-0", "subject": ID,
            "message": "job: job completed"})
    );
    Ok(())
}

#[rstest]
#[case::no_line(&[OTHER], Some(3))]
#[case::no_id(&["a1"], Some(2))]
#[case::no_job(&[], Some(2))]
fn errors_have_exit_codes(#[case] words: &[&str], #[case] code: Option<i32>) -> Result<()> {
    let files = match words {
        [] => Vec::new(),
        _ => logs("exits", &[&[line("01Z", "vm-0", "job: job completed", ID)]])?,
    };
    let output = trace(words, &files)?;
    assert_eq!(output.status.code(), code, "{output:?}");
    Ok(())
}

#[test]
fn missing_file_is_named_in_the_error() -> Result<()> {
    let output = trace(&[ID], &[PathBuf::from("no-such.log")])?;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("no-such.log"), "{stderr}");
    Ok(())
}

/// MAX_PEAK_KB is the maximum peak memory of a trace of a large log, in KB. The
/// program alone takes a few thousand.
#[cfg(target_os = "linux")]
const MAX_PEAK_KB: u64 = 16 * 1024;

/// peak_kb returns the peak memory of a running process, in KB.
#[cfg(target_os = "linux")]
fn peak_kb(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// write_large writes a log of 64 MB with one line of the job. Half of the log is
/// a single line of 32 MB, before the job's line.
#[cfg(target_os = "linux")]
fn write_large(path: &Path) -> Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    let other = line(
        "01Z",
        "vm-0",
        "place: run 1 on worker w",
        &format!("{OTHER}.0.0.0"),
    );
    let count = 32_000_000 / other.len();
    for _ in 0..count {
        writeln!(file, "{other}")?;
    }
    writeln!(file, "{}", "{\"".repeat(16_000_000))?;
    writeln!(file, "{}", line("02Z", "vm-0", "job: job completed", ID))?;
    Ok(())
}

/// A trace that keeps other jobs' lines, or a whole overlong line, in memory
/// exceeds the limit.
#[cfg(target_os = "linux")]
#[test]
fn large_log_takes_little_memory() -> Result<()> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("large.log");
    write_large(&path)?;
    // Its input stays open, so that it runs until its peak memory has been read.
    let mut child = Command::new(env!("CARGO_BIN_EXE_stackpier"))
        .args(["trace", ID])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    let mut input = child.stdin.take().context("the child has no input")?;
    std::io::copy(&mut File::open(&path)?, &mut input)?;
    let peak = peak_kb(child.id()).context("the child has ended")?;
    drop(input);
    let output = child.wait_with_output()?;
    fs::remove_file(&path)?;
    assert_eq!(shown(&output).len(), 1, "{output:?}");
    assert!(peak < MAX_PEAK_KB, "{peak} KB");
    Ok(())
}
