//! Name of a model.

crate::define_name! {
    /// Identifies a model that engines serve.
    ModelName
}
