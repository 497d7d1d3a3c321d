//! The settings object that an instance receives at its start, as JSON with the simulator's names and units. The
//! simulator's line protocol and the conductor's configuration file share this parser.

use serde::Deserialize;
use thiserror::Error;

use crate::interface::*;

/// The platform's slack on the time left that an attempt sends along, in microseconds. It is not part of the
/// settings.
const TIME_LEFT_SLACK: Micros = 150_000;

/// An invalid field of the settings or of a message.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{field}: {problem}")]
pub struct FieldError {
    /// The field, or the message if no single field is invalid.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// A parsed value, or the field that is invalid.
pub type Parsed<T> = Result<T, FieldError>;

/// Returns an error for a field.
pub fn field_error<T>(field: &str, problem: impl Into<String>) -> Parsed<T> {
    Err(FieldError { field: field.to_string(), problem: problem.into() })
}

/// Parses a finite number.
pub fn number(field: &str, text: &str) -> Parsed<f64> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() => Ok(value),
        _ => field_error(field, "not a number"),
    }
}

/// Converts milliseconds, which may be fractional, to whole microseconds.
pub fn micros(field: &str, ms: f64) -> Parsed<Micros> {
    let us = (ms * 1000.0).round();
    if (0.0..9.0e18).contains(&us) { Ok(us as Micros) } else { field_error(field, "not a time in range") }
}

/// Returns a digest that is the same in every process (FNV-1a).
pub fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// The meaning of a value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Recent service time, in milliseconds.
    Latency,
    /// Share of the memory that is in use.
    MemoryShare,
    /// Waiting prompt tokens, in thousands.
    WaitingThousands,
    /// Requests in the queue.
    Waiting,
    /// A value that the decision module does not use.
    Unused,
}

/// The settings of connections to servers. The decision module does not use them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Links {
    /// The time after which a server closes an idle connection.
    pub idle: Micros,
    /// The time within which a connection has to be established.
    pub connect: Micros,
}

/// The names in an instance's settings, by which the names in its events are resolved.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of server.
    pub kinds: Vec<String>,
    /// The fields of a load report, in their order.
    pub report: Vec<ReportField>,
}

/// Returns the index of a name among those of the settings.
pub fn index(field: &str, names: &[String], name: &str) -> Parsed<u16> {
    match names.iter().position(|n| n == name).and_then(|i| u16::try_from(i).ok()) {
        Some(i) => Ok(i),
        None => field_error(field, format!("'{name}' is not among the settings")),
    }
}

/// The settings object, with the names and units of its JSON form.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Info {
    az: String,
    classes: Vec<InfoClass>,
    discovery: String,
    extra: InfoExtra,
    limits: InfoLimits,
    models: Vec<String>,
    over_share_worth: f64,
    prices: InfoPrices,
    replicas_of_me: u32,
    report: InfoReport,
    rules: InfoRules,
    step_ms: f64,
    tenants: Vec<InfoTenant>,
    zones: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InfoClass {
    aim_ms: f64,
    deadline_ms: f64,
    dedup_window_ms: f64,
    key_scope: String,
    late_value: f64,
    name: String,
    points: f64,
    repeat: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InfoExtra {
    aim_us_per1000_prompt_tokens: Vec<f64>,
    cross_cell_price: f64,
    early_pairing: bool,
    kind_role: Vec<String>,
    kv_tokens: Vec<f64>,
    release_within_ms: f64,
    resume: bool,
    self_prefill: bool,
    token_aim_ms: Vec<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InfoLimits {
    conn_idle_ms: Option<f64>,
    connect_timeout_ms: Option<f64>,
    max_retry_after_ms: f64,
    may_cancel: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
    send_cap: u32,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InfoPrices {
    cross_zone: f64,
    late_fail: f64,
    probe: f64,
    waste: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InfoReport {
    fields: Vec<String>,
    source: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InfoRules {
    answer_slack_ms: f64,
    ask_within_ms: f64,
    cold_from: f64,
    drain_grace_ms: f64,
    fall_multiple: f64,
    tip_after_ms: f64,
    warm_up_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InfoTenant {
    name: String,
    quota_per_s: f64,
    share: f64,
}

/// The shortest time span that is used as a divisor, in microseconds. A warm-up of 0 becomes this span and so ends at
/// once.
const MIN_SPAN: Micros = 1;

/// Returns the field of the settings object that holds what the decision module's error refers to.
fn field_of_error(error: &SettingsError) -> &'static str {
    let (SettingsError::Empty(name) | SettingsError::OutOfRange(name)) = error;
    match *name {
        "dispatchers" => "Info ReplicasOfMe",
        "kinds" => "Info Models",
        "classes" => "Info Classes",
        "attempts" => "Info Limits.SendCap",
        "worth" => "Info Classes.Points or LateValue",
        "tenants" => "Info Tenants",
        "over_share_worth" => "Info OverShareWorth",
        "cold_from" => "Info Rules.ColdFrom",
        "fall_multiple" => "Info Rules.FallMultiple",
        "memory_tokens" => "Info Extra.KvTokens",
        "prices" => "Info Prices or Extra.CrossCellPrice",
        _ => "Info",
    }
}

fn time(key: &str, ms: f64) -> Parsed<Micros> {
    micros(&format!("Info {key}"), ms)
}

impl Info {
    /// Converts the settings to the form of the decision module.
    pub fn settings(&self) -> Parsed<Settings> {
        let entry = |key: &str, values: &[f64], position: usize| match values.get(position) {
            Some(value) => Ok(*value),
            None => field_error(&format!("Info {key}"), "has too few entries"),
        };
        let extra = &self.extra;
        let mut kinds = Vec::new();
        for (kind_index, model) in self.models.iter().enumerate() {
            let role = match extra.kind_role.get(kind_index).map(String::as_str) {
                Some("read") => Role::Reader,
                Some("write") => Role::Writer,
                Some("both") => Role::Mixed,
                Some(_) => return field_error("Info Extra.KindRole", "none of read, write and both"),
                None => return field_error("Info Extra.KindRole", "has too few entries"),
            };
            let memory_tokens = entry("Extra.KvTokens", &extra.kv_tokens, kind_index)? as u64;
            if memory_tokens == 0 {
                return field_error("Info Extra.KvTokens", format!("'{model}' has no memory"));
            }
            kinds.push(Kind { role, memory_tokens });
        }
        let mut classes = Vec::new();
        for (class_index, class) in self.classes.iter().enumerate() {
            let per_1000 =
                entry("Extra.AimUsPer1000PromptTokens", &extra.aim_us_per1000_prompt_tokens, class_index)?;
            classes.push(Class {
                aim: time("Classes.AimMs", class.aim_ms)?,
                aim_per_1000_tokens: time("Extra.AimUsPer1000PromptTokens", per_1000 / 1000.0)?,
                deadline: time("Classes.DeadlineMs", class.deadline_ms)?,
                token_aim: time(
                    "Extra.TokenAimMs",
                    entry("Extra.TokenAimMs", &extra.token_aim_ms, class_index)?,
                )?,
                worth: class.points,
                late_worth: class.late_value,
                effect: class.effect()?,
                key_window: time("Classes.DedupWindowMs", class.dedup_window_ms)?,
            });
        }
        let (limits, rules, prices) = (&self.limits, &self.rules, &self.prices);
        let settings = Settings {
            zone: ZoneId(index("Info Az", &self.zones, &self.az)?),
            dispatchers: self.replicas_of_me,
            step: time("StepMs", self.step_ms)?,
            kinds,
            classes,
            tenants: (self.tenants.iter())
                .map(|t| Tenant { share: t.share, quota_per_s: t.quota_per_s })
                .collect(),
            over_share_worth: self.over_share_worth,
            limits: Limits {
                attempts: limits.send_cap,
                cancel: limits.may_cancel,
                probes: limits.probes,
                second_copies: limits.second_copies,
                retry_after: limits.retry_after,
                max_retry_after: time("Limits.MaxRetryAfterMs", limits.max_retry_after_ms)?,
                hold_places: extra.early_pairing,
                resume: extra.resume,
                writers_read: extra.self_prefill,
            },
            rules: Rules {
                answer_slack: time("Rules.AnswerSlackMs", rules.answer_slack_ms)?,
                time_left_slack: TIME_LEFT_SLACK,
                drain_grace: time("Rules.DrainGraceMs", rules.drain_grace_ms)?,
                cold_from: rules.cold_from,
                warm_up: time("Rules.WarmUpMs", rules.warm_up_ms)?.max(MIN_SPAN),
                fall_multiple: rules.fall_multiple,
                fall_after: time("Rules.TipAfterMs", rules.tip_after_ms)?.max(MIN_SPAN),
                ask_within: time("Rules.AskWithinMs", rules.ask_within_ms)?,
                release_within: time("Extra.ReleaseWithinMs", extra.release_within_ms)?,
            },
            prices: Prices {
                probe: prices.probe,
                cross_zone: prices.cross_zone,
                cross_cell: extra.cross_cell_price,
                waste: prices.waste,
                late_fail: prices.late_fail,
            },
            reports: match self.report.source.as_str() {
                "answers" => ReportSource::Answers,
                "probe" => ReportSource::Probes,
                "none" => ReportSource::Unavailable,
                _ => return field_error("Info Report.Source", "none of answers, probe and none"),
            },
            discovery: match self.discovery.as_str() {
                "pushed" => Discovery::Pushed,
                "on_request" => Discovery::OnRequest,
                _ => return field_error("Info Discovery", "neither pushed nor on_request"),
            },
        };
        match settings.check() {
            Ok(()) => Ok(settings),
            Err(error) => field_error(field_of_error(&error), error.to_string()),
        }
    }

    /// Returns the settings of connections. A time that is missing or 0, with which no connection could work, is
    /// replaced by its default: 15 s of idle time, 250 ms to connect.
    pub fn links(&self) -> Parsed<Links> {
        let or_default = |ms: Option<f64>, default| ms.filter(|ms| *ms != 0.0).unwrap_or(default);
        Ok(Links {
            idle: time("Limits.ConnIdleMs", or_default(self.limits.conn_idle_ms, 15_000.0))?,
            connect: time("Limits.ConnectTimeoutMs", or_default(self.limits.connect_timeout_ms, 250.0))?,
        })
    }

    /// Returns the names by which those in events are resolved.
    pub fn names(self) -> Names {
        let report = (self.report.fields.iter())
            .map(|field| match field.as_str() {
                "mean_ms" => ReportField::Latency,
                "x0" => ReportField::MemoryShare,
                "x1" => ReportField::WaitingThousands,
                "depth" => ReportField::Waiting,
                _ => ReportField::Unused,
            })
            .collect();
        Names {
            classes: self.classes.into_iter().map(|c| c.name).collect(),
            tenants: self.tenants.into_iter().map(|t| t.name).collect(),
            zones: self.zones,
            kinds: self.models,
            report,
        }
    }
}

impl InfoClass {
    fn effect(&self) -> Parsed<Effect> {
        Ok(match (self.repeat.as_str(), self.key_scope.as_str()) {
            ("retryable", _) => Effect::Safe,
            ("fragile", _) => Effect::Unsafe,
            ("dedup", "all") => Effect::Keyed(KeyGroup::All),
            ("dedup", "zone") => Effect::Keyed(KeyGroup::Zone),
            ("dedup", "cell") => Effect::Keyed(KeyGroup::Cell),
            ("dedup", _) => return field_error("Info Classes.KeyScope", "none of all, zone and cell"),
            _ => return field_error("Info Classes.Repeat", "none of retryable, dedup and fragile"),
        })
    }
}
