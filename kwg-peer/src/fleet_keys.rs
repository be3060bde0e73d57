use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use snafu::{ResultExt, Snafu};

/// The authority that signs the certificates of a fleet's routers.
#[derive(Debug)]
pub struct FleetAuthority {
    certificate: String,
    key: String,
}

/// A certificate and its private key, both in PEM.
#[derive(Debug, Clone)]
pub struct IssuedKeys {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// The error for keys that cannot be made.
#[derive(Debug, Snafu)]
pub enum KeyError {
    /// The library refuses.
    #[snafu(display("the keys cannot be made: {source}"))]
    Generate {
        /// The cause.
        source: rcgen::Error,
    },
}

impl FleetAuthority {
    /// Makes a new authority.
    ///
    /// # Errors
    /// [`KeyError`] if the library refuses.
    ///
    /// ```
    /// let authority = kwg_peer::FleetAuthority::generate()?;
    /// let keys = authority.issue("r1")?;
    /// assert!(keys.certificate.starts_with("-----BEGIN CERTIFICATE-----"));
    /// # Ok::<(), kwg_peer::KeyError>(())
    /// ```
    pub fn generate() -> Result<Self, KeyError> {
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let params = authority_params()?;
        let certificate = params.self_signed(&key).context(GenerateSnafu)?;
        Ok(Self { certificate: certificate.pem(), key: key.serialize_pem() })
    }

    /// Takes up an authority that was made before.
    #[must_use]
    pub fn from_pem(certificate: impl Into<String>, key: impl Into<String>) -> Self {
        Self { certificate: certificate.into(), key: key.into() }
    }

    /// The authority's certificate, in PEM.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// The authority's private key, in PEM.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Issues the certificate of a router, which holds its name.
    ///
    /// # Errors
    /// [`KeyError`] if the name fits no certificate or the authority is damaged.
    pub fn issue(&self, instance: &str) -> Result<IssuedKeys, KeyError> {
        let authority_key = KeyPair::from_pem(&self.key).context(GenerateSnafu)?;
        let issuer = Issuer::new(authority_params()?, authority_key);
        let key = KeyPair::generate().context(GenerateSnafu)?;
        let names = vec![instance.to_owned()];
        let mut params = CertificateParams::new(names).context(GenerateSnafu)?;
        params.distinguished_name.push(DnType::CommonName, instance);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &issuer).context(GenerateSnafu)?;
        Ok(IssuedKeys { certificate: certificate.pem(), key: key.serialize_pem() })
    }
}

/// The parameters of every authority: its certificate differs from another one's by its key.
fn authority_params() -> Result<CertificateParams, KeyError> {
    let mut params = CertificateParams::new(Vec::new()).context(GenerateSnafu)?;
    params.distinguished_name.push(DnType::CommonName, "knapweedglade fleet authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    Ok(params)
}
