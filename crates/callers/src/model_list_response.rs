//! Response to `GET /v1/models`.

use serde::Serialize;

/// Models that the caller may use, in the format of the OpenAI API.
#[derive(Clone, Debug, Serialize)]
pub struct ModelListResponse {
    /// Always `list`.
    pub object: &'static str,
    /// Models, in the order in which they were passed to [`ModelListResponse::new`].
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
    /// Builds the response from model names.
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
