//! Answer to `GET /v1/models`.

use serde::Serialize;

/// Models that the caller can use, in the form that OpenAI clients know.
#[derive(Clone, Debug, Serialize)]
pub struct ModelListResponse {
    /// Always `list`.
    pub object: &'static str,
    /// Models by name.
    pub data: Vec<ModelEntry>,
}

/// One model.
#[derive(Clone, Debug, Serialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: &'static str,
    /// Always `hawthornquay`.
    pub owned_by: &'static str,
}

impl ModelListResponse {
    /// Builds the answer from model names.
    pub fn new(models: impl IntoIterator<Item = String>) -> Self {
        let entry = |id| ModelEntry {
            id,
            object: "model",
            owned_by: "hawthornquay",
        };
        Self {
            object: "list",
            data: models.into_iter().map(entry).collect(),
        }
    }
}
